// Package fixedseed sets a fixed seed for property tests, so that every CI run has the
// same result. Test files import it for its side effect. The flag -rapid.seed still
// overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag rapid.seed
)

// seed is the fixed seed. It must not be zero, which stands for a random seed.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
