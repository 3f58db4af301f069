package permits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

const testTTL = 10 * time.Second

// oracle is a simple model of the coordinator. since holds the start of the wait of
// each waiting request, granted the time of the last grant of each open one.
type oracle struct {
	now     time.Time
	store   map[Key]string
	since   map[Key]time.Time
	granted map[Key]time.Time
	// reported holds the loads in progress that another coordinator has granted.
	reported map[Key]bool
}

func (o *oracle) expire() {
	for k, at := range o.granted {
		if o.now.Sub(at) > testTTL {
			o.forget(k)
		}
	}
}

func (o *oracle) forget(k Key) {
	delete(o.granted, k)
	delete(o.since, k)
	delete(o.reported, k)
}

// grants checks new grants: at most one grant is open per weight store, and none is
// given while another request for the same store is older by more than the highest
// possible bonus.
func (o *oracle) grants(t *rapid.T, keys []Key) {
	for _, k := range keys {
		if _, again := o.granted[k]; again {
			o.granted[k] = o.now
			continue
		}
		since, ok := o.since[k]
		if !ok {
			t.Fatalf("grant of %v without a request", k)
		}
		for other := range o.granted {
			if o.store[other] == o.store[k] {
				t.Fatalf("grant of %v while %v holds a grant for the same store", k, other)
			}
		}
		for other, at := range o.since {
			if o.store[other] == o.store[k] && since.Sub(at) > highBonus+maxBacklogBonus {
				t.Fatalf("%v granted before %v, which has waited %v longer", k, other, since.Sub(at))
			}
		}
		delete(o.since, k)
		o.granted[k] = o.now
	}
}

// Guards against two loads from one weight store at the same time, requests that
// wait forever behind more important ones, grants that outlive their endpoint or
// their time to live, and weight stores that stay idle while requests wait.
func TestCoordinator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Config{MaxConcurrent: 1, GrantTTL: testTTL})
		o := &oracle{now: time.Unix(1000, 0), store: map[Key]string{}, since: map[Key]time.Time{}, granted: map[Key]time.Time{}, reported: map[Key]bool{}}
		drawKey := func(t *rapid.T) Key {
			e := rapid.IntRange(0, 5).Draw(t, "endpoint")
			k := Key{Endpoint: ident.EndpointID(fmt.Sprint(e)), Adapter: ident.Adapter{Team: "t", Name: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "adapter")), Version: "1"}}
			o.store[k] = fmt.Sprint(e % 2)
			return k
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				k := drawKey(t)
				r := Request{
					Key: k, Store: o.store[k],
					Waiting:  rapid.IntRange(0, 1000).Draw(t, "waiting"),
					Weight:   rapid.IntRange(0, 100).Draw(t, "weight"),
					Waited:   time.Duration(rapid.IntRange(0, 120).Draw(t, "waited")) * time.Second,
					Priority: ident.Priority(rapid.IntRange(1, 3).Draw(t, "class")),
				}
				since := o.now.Add(-r.Waited)
				if old, ok := o.since[k]; ok && old.Before(since) {
					since = old
				}
				if _, ok := o.granted[k]; !ok {
					o.since[k] = since
				}
				o.grants(t, c.Request(o.now, r))
			},
			"loading": func(t *rapid.T) {
				k := drawKey(t)
				delete(o.since, k)
				o.granted[k] = o.now
				o.grants(t, c.Request(o.now, Request{Key: k, Store: o.store[k], Loading: true}))
			},
			"release": func(t *rapid.T) {
				k := drawKey(t)
				o.forget(k)
				o.grants(t, c.Release(o.now, k))
			},
			"drop": func(t *rapid.T) {
				id := drawKey(t).Endpoint
				for k := range o.store {
					if k.Endpoint == id {
						o.forget(k)
					}
				}
				o.grants(t, c.RemoveEndpoint(o.now, id))
			},
			"tick": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
				o.expire()
				o.grants(t, c.Tick(o.now))
			},
			"": func(t *rapid.T) {
				busy := map[string]bool{}
				for k := range o.granted {
					busy[o.store[k]] = true
				}
				for k := range o.since {
					if !busy[o.store[k]] {
						t.Fatalf("%v waits for an idle weight store", k)
					}
				}
				if c.Waiting() != len(o.since) {
					t.Fatalf("%d requests wait, want %d", c.Waiting(), len(o.since))
				}
			},
		})
	})
}
