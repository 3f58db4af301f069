package balance

import (
	"cmp"
	"slices"
	"time"
)

// Option is a server that may be chosen, with the time that a request is expected to take
// there if no other request arrives.
type Option struct {
	Index int
	Cost  time.Duration
}

// Spread chooses among options so that the entries that choose at the same moment, from the
// same reports, do not all choose the same one. incoming is the work that the others are
// expected to have sent to each server, on average, since the report.
//
// The others have filled up the options with the lowest cost to a common level. Those below
// the level are about equal by now, and each is chosen with the same chance, which fills them
// up evenly further on. Without incoming work, the option with the lowest cost is chosen. draw
// is a random number in [0, 1); 0 chooses the lowest cost.
//
// Spread sorts the options by cost. It returns the place of the choice and the number of
// options below the level. There must be at least one option.
func Spread(options []Option, incoming time.Duration, draw float64) (chosen, equal int) {
	slices.SortStableFunc(options, func(a, b Option) int { return cmp.Compare(a.Cost, b.Cost) })
	equal = belowLevel(options, incoming)
	return int(draw * float64(equal)), equal
}

// belowLevel returns the number of options below the common level to which incoming work for
// each of them fills them up. Each option that the level reaches brings its own share of the
// incoming work.
func belowLevel(options []Option, incoming time.Duration) int {
	total := time.Duration(0)
	for n, o := range options {
		if n > 0 && o.Cost >= total/time.Duration(n)+incoming {
			return n
		}
		total += o.Cost
	}
	return len(options)
}
