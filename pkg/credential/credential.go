// Package credential identifies API keys by their digests, so that the keys themselves are
// neither stored nor logged.
package credential

import "crypto/sha256"

// DigestSize is the length of a Digest in bytes.
const DigestSize = sha256.Size

// Digest is the SHA-256 digest of an API key.
type Digest [DigestSize]byte

// DigestOf returns the digest of an API key.
func DigestOf(apiKey string) Digest { return sha256.Sum256([]byte(apiKey)) }
