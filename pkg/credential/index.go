package credential

// Index maps API keys to their owners. Keys are found by digest, so that the time of a lookup
// depends neither on the number of keys nor on how much of a wrong key is right. The zero value
// is an empty index.
type Index[O comparable] struct{ owners map[Digest]O }

// Add records the owner of a key. It reports false and changes nothing if the key belongs to
// another owner.
func (x *Index[O]) Add(d Digest, owner O) bool {
	if other, taken := x.owners[d]; taken {
		return other == owner
	}
	if x.owners == nil {
		x.owners = map[Digest]O{}
	}
	x.owners[d] = owner
	return true
}

// Owner returns the owner of the key with the given digest, or false if there is none.
func (x *Index[O]) Owner(d Digest) (O, bool) {
	owner, ok := x.owners[d]
	return owner, ok
}

// Find returns the owner of an API key, or false for an unknown key.
func (x *Index[O]) Find(apiKey string) (O, bool) { return x.Owner(DigestOf(apiKey)) }
