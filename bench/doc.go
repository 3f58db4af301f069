// Package bench measures whole processes: the latency that entry and endpoint
// add to a call, and what idle roles cost in memory, processor time and traffic.
// docs/CAPACITY.md is derived from these benchmarks.
package bench
