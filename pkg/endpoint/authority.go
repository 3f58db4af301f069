package endpoint

// Authority reports whether this process may send load and unload commands to its
// engine, and whether requests may rely on the adapters that the engine holds.
// Implementations must be safe for concurrent use.
type Authority interface {
	// Token returns the fencing token to send with commands, and whether commands
	// are allowed now.
	Token() (token uint64, ok bool)
	// Exclusive reports whether no other process can still change the engine's
	// adapters. It is false while another process holds the engine lease.
	Exclusive() bool
}

// StaticAuthority is an Authority that always allows commands. Use it only in
// development, where no other process ever sends commands to the same engine.
type StaticAuthority struct{}

// Token returns the token 1 and true.
func (StaticAuthority) Token() (uint64, bool) { return 1, true }

// Exclusive returns true.
func (StaticAuthority) Exclusive() bool { return true }
