package placement

// Names of the policies.
const (
	NameAffinity    = "affinity"
	NameRandom      = "random"
	NameLeastLoaded = "least-loaded"
	NameHash        = "hash"
)

// ByName returns the policy with a name, or nil if there is none.
func ByName(name string, seed uint64) Policy {
	switch name {
	case NameAffinity:
		return NewAffinity(seed)
	case NameRandom:
		return NewRandom(seed)
	case NameLeastLoaded:
		return LeastLoaded{}
	case NameHash:
		return PlainHash{}
	default:
		return nil
	}
}
