package bundle

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// versionSet is a list of adapter versions with the index of the current one. To
// save memory, adapters with equal lists share one set.
type versionSet struct {
	versions []string
	current  uint16
}

// adapterRecord is one adapter in the index, in 12 bytes: the end of its name in
// index.names and its indexes into index.bases and index.sets.
type adapterRecord struct {
	end  uint32
	base uint32
	set  uint32
}

// index holds all adapters, sorted by name. The names, team/name, are concatenated in
// names; the one of adapter i ends at records[i].end.
type index struct {
	names   string
	records []adapterRecord
	bases   []string
	sets    []versionSet
}

func (x *index) name(i int) string {
	start := uint32(0)
	if i > 0 {
		start = x.records[i-1].end
	}
	return x.names[start:x.records[i].end]
}

// find returns the record of adapter team/name. It does not allocate memory.
func (x *index) find(team, name string) (adapterRecord, bool) {
	i := sort.Search(len(x.records), func(i int) bool { return compareName(x.name(i), team, name) >= 0 })
	if i == len(x.records) || compareName(x.name(i), team, name) != 0 {
		return adapterRecord{}, false
	}
	return x.records[i], true
}

// compareName compares full with team + "/" + name without concatenating them.
func compareName(full, team, name string) int {
	if len(full) <= len(team) {
		if c := strings.Compare(full, team); c != 0 {
			return c
		}
		return -1
	}
	if c := strings.Compare(full[:len(team)], team); c != 0 {
		return c
	}
	if c := cmp.Compare(full[len(team)], '/'); c != 0 {
		return c
	}
	return strings.Compare(full[len(team)+1:], name)
}

// pendingAdapter is an adapter that was parsed and is not in the index yet.
type pendingAdapter struct {
	name string
	file uint32 // index into parser.files
	line uint32
	base uint32
	set  uint32
}

// indexBuilder collects adapters for an index.
type indexBuilder struct {
	adapters []pendingAdapter
	bases    []string
	baseIDs  map[string]uint32
	sets     []versionSet
	setIDs   map[versionSetKey]uint32
}

type versionSetKey struct {
	versions string
	current  string
}

func newIndexBuilder() *indexBuilder {
	return &indexBuilder{baseIDs: map[string]uint32{}, setIDs: map[versionSetKey]uint32{}}
}

func (b *indexBuilder) base(name string) uint32 {
	id, ok := b.baseIDs[name]
	if !ok {
		id = uint32(len(b.bases))
		name = strings.Clone(name)
		b.bases = append(b.bases, name)
		b.baseIDs[name] = id
	}
	return id
}

// set returns the index of the version set with the given source text. It calls parse
// if the text is new; parse returns false if the set is not valid.
func (b *indexBuilder) set(k versionSetKey, parse func() (versionSet, bool)) (uint32, bool) {
	if id, ok := b.setIDs[k]; ok {
		return id, true
	}
	vs, ok := parse()
	if !ok {
		return 0, false
	}
	id := uint32(len(b.sets))
	b.sets = append(b.sets, vs)
	b.setIDs[versionSetKey{strings.Clone(k.versions), strings.Clone(k.current)}] = id
	return id, true
}

// build returns the index. It calls duplicate for each adapter whose name was already
// defined and leaves it out.
func (b *indexBuilder) build(duplicate func(pendingAdapter)) index {
	slices.SortFunc(b.adapters, func(a, c pendingAdapter) int {
		if d := strings.Compare(a.name, c.name); d != 0 {
			return d
		}
		return cmp.Or(cmp.Compare(a.file, c.file), cmp.Compare(a.line, c.line))
	})
	size := 0
	for _, a := range b.adapters {
		size += len(a.name)
	}
	x := index{records: make([]adapterRecord, 0, len(b.adapters)), bases: b.bases, sets: b.sets}
	var names strings.Builder
	names.Grow(size)
	for i, a := range b.adapters {
		if i > 0 && a.name == b.adapters[i-1].name {
			duplicate(a)
			continue
		}
		names.WriteString(a.name)
		x.records = append(x.records, adapterRecord{end: uint32(names.Len()), base: a.base, set: a.set})
	}
	x.names = names.String()
	return x
}
