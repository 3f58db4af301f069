package placement

// Names of the policies, as used in the settings.
const (
	NameAffinity    = "affinity"
	NameRandom      = "random"
	NameLeastLoaded = "least-loaded"
	NameHash        = "hash"
)

// ByName returns a new policy with the given name, or nil if the name is unknown.
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
