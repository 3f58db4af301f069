package endpoint

// Authority tells whether the process may give commands to its engine and whether
// its runs may rely on the engine's adapters. It is safe for concurrent use.
type Authority interface {
	// Token returns the fencing token and whether commands are allowed now.
	Token() (token uint64, ok bool)
	// Exclusive reports whether no other process can change the engine's adapters any
	// more. It is false while another process holds the engine lease.
	Exclusive() bool
}

// StaticAuthority is the authority of a process that is the only one ever to
// command its engine. It is for development.
type StaticAuthority struct{}

// Token returns the same token each time.
func (StaticAuthority) Token() (uint64, bool) { return 1, true }

// Exclusive returns true.
func (StaticAuthority) Exclusive() bool { return true }
