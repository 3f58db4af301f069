package locality

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// memoryFleet is an oracle for cached prompt parts: it knows for each server what it
// holds and which of its parts were processed with which versions.
type memoryFleet struct {
	now      time.Time
	prefixes *PrefixIndex
	chooser  *Chooser
	servers  []*memoryServer
}

type memoryServer struct {
	endpoint *fleet.Endpoint
	weights  int
	adapters map[fleet.AdapterKey]int
	// parts maps each cached part to the scope in which it was processed.
	parts map[cachedPart]Scope
}

// drop removes what is cached for an adapter, as its unload does.
func (s *memoryServer) drop(k fleet.AdapterKey) {
	maps.DeleteFunc(s.parts, func(part cachedPart, _ Scope) bool { return part.key == k })
}

// cachedPart identifies a part in a server's cache. The versions are not included, so that
// the server does not tell parts of different versions apart.
type cachedPart struct {
	key fleet.AdapterKey
	id  string
}

func (s *memoryServer) scope(k fleet.AdapterKey) Scope {
	return Scope{Key: k, Weights: s.weights, Adapter: s.adapters[k]}
}

func (s *memoryServer) report(now time.Time) {
	residents := map[fleet.AdapterKey]int{}
	for k, version := range s.adapters {
		residents[k] = version
	}
	s.endpoint.Runtime.SetStatus(&fleet.Status{ReceivedAt: now, Models: map[string]int{"m": s.weights}, Residents: residents, Free: 1, LoadLimit: 1})
}

// serve places a request and returns an error if its server would use cached parts of
// other versions than those that it runs, its own or any that its source has, or if fewer
// are cached than the choice counts on.
func (f *memoryFleet) serve(k fleet.AdapterKey, prefix []Part) error {
	endpoints := make([]*fleet.Endpoint, len(f.servers))
	byEndpoint := map[*fleet.Endpoint]*memoryServer{}
	for i, s := range f.servers {
		endpoints[i] = s.endpoint
		byEndpoint[s.endpoint] = s
	}
	tokens := 0
	for _, part := range prefix {
		tokens += part.Tokens
	}
	choice, ok := f.chooser.Choose(&Request{Now: f.now, Key: k, Prefix: prefix, PromptTokens: tokens}, endpoints)
	if !ok || !choice.Resident {
		return nil
	}
	target := byEndpoint[choice.Endpoint]
	ran := target.scope(k)
	if choice.Scope != ran {
		return fmt.Errorf("chosen scope %v, ran in %v", choice.Scope, ran)
	}
	holder := target
	if choice.Source != nil {
		holder = byEndpoint[choice.Source]
	}
	covered := 0
	for _, part := range prefix {
		made, cached := holder.parts[cachedPart{key: k, id: part.ID}]
		if !cached {
			break
		}
		covered += part.Tokens
		if made != ran {
			return fmt.Errorf("part %s was processed in %v and used in %v", part.ID, made, ran)
		}
	}
	if covered < choice.CachedTokens {
		return fmt.Errorf("%d tokens are cached, %d expected", covered, choice.CachedTokens)
	}
	f.prefixes.RecordPrompt(f.now, target.endpoint.Runtime, ran, prefix)
	for _, part := range prefix {
		target.parts[cachedPart{key: k, id: part.ID}] = ran
	}
	return nil
}

// Guards against prompt memory that is used with other weights or another adapter version
// than it was made with, in any order of requests, replaced adapters and new weights.
func TestCachedPartsStayInTheirScope(t *testing.T) {
	keys := []fleet.AdapterKey{{Model: "m"}, {Model: "m", Name: "a1"}, {Model: "m", Name: "a2"}}
	rapid.Check(t, func(t *rapid.T) {
		prefixes := NewPrefixIndex()
		f := &memoryFleet{now: time.Unix(1000, 0), prefixes: prefixes, chooser: New(DefaultWeights(), prefixes)}
		for _, e := range endpoints(4) {
			s := &memoryServer{endpoint: e, weights: 1, adapters: map[fleet.AdapterKey]int{keys[1]: 1, keys[2]: 1}, parts: map[cachedPart]Scope{}}
			s.report(f.now)
			f.servers = append(f.servers, s)
		}
		server := rapid.Custom(func(t *rapid.T) *memoryServer { return rapid.SampledFrom(f.servers).Draw(t, "server") })
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				k := rapid.SampledFrom(keys).Draw(t, "key")
				prefix := []Part{{ID: "a", Tokens: 4000}, {ID: "b", Tokens: 3000}, {ID: "own", Tokens: 200}}
				assert.NilError(t, f.serve(k, prefix))
			},
			"renew adapter": func(t *rapid.T) {
				s := server.Draw(t, "server")
				s.adapters[keys[1]]++
				s.drop(keys[1])
				s.report(f.now)
			},
			"new weights": func(t *rapid.T) {
				s := server.Draw(t, "server")
				s.weights += rapid.IntRange(1, 3).Draw(t, "step")
				clear(s.parts)
				s.report(f.now)
			},
			"busy": func(t *rapid.T) {
				server.Draw(t, "server").endpoint.Runtime.Backlog[0].Store(rapid.Int64Range(0, 500_000).Draw(t, "tokens"))
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, s := range f.servers {
					s.report(f.now)
				}
			},
		})
	})
}
