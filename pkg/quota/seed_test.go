package quota

import (
	"flag"

	_ "github.com/fescuecourse/fescuecourse/internal/fixedseed" // fixed seed for property tests
)

// checks is the number of cases of each property.
const checks = "200"

func init() {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
}
