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
	// storeTimeout bounds a call to the platform's store. The store normally answers
	// within milliseconds.
	storeTimeout = 2 * time.Second
	// entryWatchWait and endpointWatchWait are how long the store holds a watch call
	// open without changes. If the store compacts its history, it may hold a call open
	// and miss changes, so the wait bounds how stale the configuration can become. A
	// sidecar tolerates a longer wait because entries check adapter versions themselves and
	// tell it which ones their requests need. With one sidecar beside each server, their
	// calls without changes are a large part of all calls to the store.
	entryWatchWait    = 2 * time.Second
	endpointWatchWait = 12 * time.Second
	// watchMargin is the time beyond its wait after which a watch call is given up. A call
	// that began while the store was silent hangs until then, also if the store has
	// returned, so entryWatchWait and watchMargin bound how late an entry reads on.
	watchMargin = 500 * time.Millisecond
	// endpointWatchPause is the delay between the watch calls of a sidecar after changes.
	endpointWatchPause = 900 * time.Millisecond
	// serverTimeout bounds a call from a sidecar to the server on the same VM.
	serverTimeout = 500 * time.Millisecond
	// orderFencingToken is the fencing token of all orders to a server. It is constant
	// because the sidecar is the only sender of orders, so there is no earlier holder
	// to fence off.
	orderFencingToken = 1
	// heapFraction is the soft memory limit of the Go runtime as a fraction of the
	// memory of the process. The garbage collector works harder near the limit.
	heapFraction = 0.7
)

func platformStore(address string, wait, pause time.Duration) *platform.Store {
	return platform.NewStore(address, platform.StoreOptions{
		CallTimeout: storeTimeout,
		WatchWait:   wait,
		WatchMargin: watchMargin,
		WatchPause:  pause,
		KeepAlive:   gateway.ConnectionKeepAlive(),
	})
}

// limitMemory sets the soft memory limit of the Go runtime to heapFraction of mb
// mebibytes. It sets no limit if mb is 0.
func limitMemory(mb float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(heapFraction * mb * (1 << 20)))
	}
}

func newRoutedEntryRole() *role {
	set := &gateway.Settings{}
	build := func(log logging.Logger) (runner, error) {
		limitMemory(set.MemoryMB)
		return gateway.New(*set, platformStore(set.KV, entryWatchWait, set.WatchPause()), platform.Decoder{}, platform.Headers{}, log)
	}
	return &role{component: logging.ComponentEntry, settings: set, logLevel: &set.LogLevel, build: build}
}

func newRoutedEndpointRole() *role {
	set := &sidecar.Settings{}
	build := func(log logging.Logger) (runner, error) {
		limitMemory(set.MemoryMB)
		server := platform.NewServer(set.Server, set.ID, orderFencingToken, serverTimeout)
		return sidecar.New(*set, platformStore(set.KV, endpointWatchWait, endpointWatchPause), platform.Decoder{}, server, log), nil
	}
	return &role{component: logging.ComponentEndpoint, settings: set, logLevel: &set.LogLevel, build: build}
}
