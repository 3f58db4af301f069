package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// demand counts this entry's requests at one model server by adapter.
type demand struct {
	mu       sync.Mutex
	adapters map[fleet.AdapterKey]*adapterDemand
	// urgent has a value while a request waits or has been sent that the server's
	// process should hear of at once.
	urgent chan struct{}
	dirty  bool
	// read are the shared parts of prompts that the server has read since the last
	// update.
	read map[uint64]struct{}
}

type adapterDemand struct {
	inFlight int
	arrivals int
	version  int
	waiting  int
	oldest   time.Time
}

func newDemand() *demand {
	return &demand{adapters: map[fleet.AdapterKey]*adapterDemand{}, urgent: make(chan struct{}, 1), read: map[uint64]struct{}{}}
}

func (d *demand) of(k fleet.AdapterKey) *adapterDemand {
	a := d.adapters[k]
	if a == nil {
		a = &adapterDemand{}
		d.adapters[k] = a
	}
	d.dirty = true
	return a
}

// urgentPrompt is the number of tokens from which on a prompt is announced at once:
// about 50 ms of a server's work.
const urgentPrompt = 2000

// start counts a request that is sent to the server, which has to read the given
// number of tokens.
func (d *demand) start(k fleet.AdapterKey, tokens int64) {
	d.mu.Lock()
	a := d.of(k)
	a.inFlight++
	a.arrivals++
	d.mu.Unlock()
	if tokens >= urgentPrompt {
		d.announce()
	}
}

// announce makes the next update go out at once.
func (d *demand) announce() {
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

func (d *demand) end(k fleet.AdapterKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(k).inFlight--
}

// wait counts a request that needs the adapter to be loaded and arrived at a time.
func (d *demand) wait(began time.Time, k fleet.AdapterKey, version int) {
	d.mu.Lock()
	a := d.of(k)
	a.version = max(a.version, version)
	if a.waiting == 0 || began.Before(a.oldest) {
		a.oldest = began
	}
	a.waiting++
	d.mu.Unlock()
	d.announce()
}

func (d *demand) unwait(k fleet.AdapterKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(k).waiting--
}

// maxReadParts bounds the parts that wait for an update. While the process beside
// the server is away, nobody takes them.
const maxReadParts = 1000

// parts notes shared parts of prompts that the server has read.
func (d *demand) parts(hashes []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.read) > maxReadParts {
		clear(d.read)
	}
	for _, h := range hashes {
		d.read[h] = struct{}{}
	}
}

// update returns the message for the server's process and whether anything has
// changed since the last one.
func (d *demand) update(now time.Time, entry string, instance fleet.ID, backlog fleet.Backlog) (*fescuev1.DemandUpdate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.dirty
	d.dirty = false
	m := &fescuev1.DemandUpdate{EntryId: entry, InstanceId: string(instance)}
	for _, tokens := range backlog {
		m.BacklogTokens = append(m.BacklogTokens, uint64(max(tokens, 0)))
	}
	for k, a := range d.adapters {
		row := &fescuev1.AdapterDemand{
			Model:    k.Model,
			Adapter:  k.Name,
			Version:  uint32(a.version),
			InFlight: uint32(a.inFlight),
			Waiting:  uint32(a.waiting),
			Arrivals: uint32(a.arrivals),
		}
		if a.waiting > 0 {
			row.WaitedMs = uint32(now.Sub(a.oldest).Milliseconds())
		}
		a.arrivals = 0
		if a.inFlight == 0 && a.waiting == 0 {
			delete(d.adapters, k)
		}
		m.Adapters = append(m.Adapters, row)
	}
	m.ReadParts = slices.Collect(maps.Keys(d.read))
	clear(d.read)
	return m, changed
}
