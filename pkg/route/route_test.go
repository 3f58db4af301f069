package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against entries that send the requests of one stream to different services: the
// choice must be the same in every process.
func TestPickServiceIsTheSameInAllProcesses(t *testing.T) {
	r := Route{Services: []WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	got := ""
	for i := range 16 {
		got += r.PickService(fmt.Sprintf("request-%d", i))
	}
	assert.Equal(t, got, "abaaaaaaabbbbbbb")
}

// Guards against a split that does not follow the weights.
func TestPickServiceFollowsTheWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const requests = 10_000
	count := 0
	for i := range requests {
		if r.PickService(fmt.Sprintf("request-%d", i)) == "b" {
			count++
		}
	}
	assert.Assert(t, count > 900 && count < 1100, "%d of %d", count, requests)
}
