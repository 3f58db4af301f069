package bundle

import (
	"slices"
	"strings"

	"github.com/fescuecourse/fescuecourse/pkg/findings"
)

// ChangeType is the kind of a difference between two texts.
type ChangeType string

// Change types.
const (
	Added   ChangeType = "added"
	Removed ChangeType = "removed"
	Changed ChangeType = "changed"
)

// Change is one difference between two texts. Key is empty if a whole section was
// added or removed.
type Change struct {
	Type    ChangeType `json:"type"`
	Section string     `json:"section"`
	Key     string     `json:"key,omitempty"`
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// String returns a description of the change in one line.
func (c Change) String() string {
	if c.Key == "" {
		return string(c.Type) + " [" + c.Section + "]"
	}
	return string(c.Type) + " [" + c.Section + "] " + c.Key + ": " + strings.TrimSpace(c.Old+" -> "+c.New)
}

// Diff returns the differences between two bundle texts in canonical order of their
// sections, and the findings of both texts.
func Diff(older, newer string) ([]Change, findings.List) {
	a, found := Sections("old", older)
	b, more := Sections("new", newer)
	var out []Change
	for len(a) > 0 || len(b) > 0 {
		switch c := compareHeads(a, b); {
		case c < 0:
			out = append(out, Change{Type: Removed, Section: a[0].Title()})
			a = a[1:]
		case c > 0:
			out = append(out, Change{Type: Added, Section: b[0].Title()})
			b = b[1:]
		default:
			out = append(out, diffKeys(a[0], b[0])...)
			a, b = a[1:], b[1:]
		}
	}
	return out, append(found, more...)
}

// compareHeads compares the first sections. An empty list sorts last.
func compareHeads(a, b []Section) int {
	if len(a) == 0 {
		return 1
	}
	if len(b) == 0 {
		return -1
	}
	return compareSections(a[0], b[0])
}

func diffKeys(a, b Section) []Change {
	var out []Change
	for _, k := range a.Keys {
		i := slices.IndexFunc(b.Keys, func(o Key) bool { return o.Name == k.Name })
		switch {
		case i < 0:
			out = append(out, Change{Type: Removed, Section: a.Title(), Key: k.Name, Old: k.Value})
		case b.Keys[i].Value != k.Value:
			out = append(out, Change{Type: Changed, Section: a.Title(), Key: k.Name, Old: k.Value, New: b.Keys[i].Value})
		}
	}
	for _, k := range b.Keys {
		if !slices.ContainsFunc(a.Keys, func(o Key) bool { return o.Name == k.Name }) {
			out = append(out, Change{Type: Added, Section: b.Title(), Key: k.Name, New: k.Value})
		}
	}
	return out
}
