package gateway

import "sync/atomic"

// loadCount is the number of adapters that one server is loading, as part of the total
// of its service.
type loadCount struct {
	// total is the sum of all counts of the service.
	total *atomic.Int64
	own   atomic.Int64
}

// set replaces the number of loads of the server.
func (c *loadCount) set(loads int) {
	previous := c.own.Swap(int64(loads))
	c.total.Add(int64(loads) - previous)
}

// elsewhere returns the number of adapters that the other servers of the service are
// loading.
func (c *loadCount) elsewhere() int {
	return int(max(c.total.Load()-c.own.Load(), 0))
}
