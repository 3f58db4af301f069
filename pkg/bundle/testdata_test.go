package bundle

import (
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/fescuecourse/fescuecourse/internal/testkey"
)

func testReviewers(names ...string) Reviewers {
	var rs Reviewers
	for _, n := range names {
		rs = append(rs, Reviewer{Name: n, Key: testkey.Public(n)})
	}
	return rs
}

// testText returns the text of a bundle with the given number of adapters in 20 teams.
func testText(version, adapters int, reviewers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[bundle]\nversion = %d\n[deployment]\nname = test\n", version)
	for _, r := range testReviewers(reviewers...) {
		fmt.Fprintf(&b, "[reviewer %q]\npublic_key = %s\n", r.Name, base64.StdEncoding.EncodeToString(r.Key))
	}
	for i := range 20 {
		fmt.Fprintf(&b, "[team \"team-%d\"]\nweight = %d\n", i, i+1)
	}
	for i := range adapters {
		n := 1 + i%5
		versions := []string{"1", "2", "3", "4", "5"}[:n]
		fmt.Fprintf(&b, "[adapter \"team-%d/adapter-%d\"]\nbase_model = kuma-7b\nversions = %s\ncurrent = %d\n", i%20, i, strings.Join(versions, ", "), n)
	}
	return b.String()
}
