// Package testkey gives tests the keys of reviewers. The same name always gets
// the same key, so that signatures do not differ between runs.
package testkey

import "crypto/ed25519"

// Private returns the private key of a reviewer. Names that share their first 32
// bytes share a key.
func Private(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// Public returns the public key of a reviewer.
func Public(name string) ed25519.PublicKey {
	return Private(name).Public().(ed25519.PublicKey)
}
