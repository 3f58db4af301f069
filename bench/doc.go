// Package bench contains benchmarks of whole processes: the latency that an entry and
// an endpoint add to a call, and the memory, CPU time and traffic of idle processes.
// The figures in docs/CAPACITY.md come from these benchmarks.
package bench
