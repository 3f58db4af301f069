// Package testkey derives the keys of reviewers in tests from their names. The same
// name always has the same key, so that signatures do not differ between runs.
package testkey

import "crypto/ed25519"

// Private returns the private key of a reviewer. It is derived from the first 32 bytes
// of the name, so names that agree in these have the same key.
func Private(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// Public returns the public key of a reviewer.
func Public(name string) ed25519.PublicKey {
	return Private(name).Public().(ed25519.PublicKey)
}
