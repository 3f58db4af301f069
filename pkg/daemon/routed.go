package daemon

import (
	"runtime/debug"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/gateway"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
	"github.com/fescuecourse/fescuecourse/pkg/sidecar"
	"github.com/fescuecourse/fescuecourse/platform"
)

const (
	// storeTimeout bounds a call to the platform's store, which answers in
	// milliseconds unless it is slow.
	storeTimeout = 2 * time.Second
	// entryWatchWait and endpointWatchWait are how long the store holds an idle watch.
	// A store that drops its history may let a watch wait on without the changes, so
	// this bounds the age of a configuration. The process beside a server needs
	// little of it: entries check versions themselves.
	entryWatchWait    = 2 * time.Second
	endpointWatchWait = 5 * time.Second
	// watchPause joins the changes of many servers into few calls. It is a part of
	// the time in which a leaving server must be known.
	watchPause = 900 * time.Millisecond
	// serverTimeout bounds a call to the server on the same machine.
	serverTimeout = 500 * time.Millisecond
	// orderFencingToken is the fencing token of all orders to a server: the process beside
	// it is the only one that gives any, so there is no earlier holder to shut out.
	orderFencingToken = 1
	// heapFraction is the share of a process's memory that the heap may take before
	// the collector works harder.
	heapFraction = 0.7
)

func platformStore(address string, wait time.Duration) *platform.Store {
	return platform.NewStore(address, platform.StoreOptions{
		CallTimeout: storeTimeout,
		WatchWait:   wait,
		WatchPause:  watchPause,
		KeepAlive:   gateway.ConnectionKeepAlive(),
	})
}

// limitMemory makes the collector keep the heap below the memory of the machine.
func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(mb) * (1 << 20)))
	}
}

func newRoutedEntryRole() *role {
	set := &gateway.Settings{}
	build := func(log logging.Logger) (runner, error) {
		limitMemory(set.MemoryMB)
		return gateway.New(*set, platformStore(set.KV, entryWatchWait), platform.Decoder{}, platform.Headers{}, log)
	}
	return &role{component: logging.ComponentEntry, settings: set, logLevel: &set.LogLevel, build: build}
}

func newRoutedEndpointRole() *role {
	set := &sidecar.Settings{}
	build := func(log logging.Logger) (runner, error) {
		limitMemory(set.MemoryMB)
		server := platform.NewServerClient(set.Server, set.ID, orderFencingToken, serverTimeout)
		return sidecar.New(*set, platformStore(set.KV, endpointWatchWait), platform.Decoder{}, server, log), nil
	}
	return &role{component: logging.ComponentEndpoint, settings: set, logLevel: &set.LogLevel, build: build}
}
