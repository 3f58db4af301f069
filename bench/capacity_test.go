package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// capacityModel is the content of docs/capacity.json: measured slopes, sizes of the
// target deployment, and totals computed from them.
type capacityModel struct {
	// Slopes and Sizes are keyed by the names that the sums of the totals use.
	Slopes map[string]slope   `json:"slopes"`
	Sizes  map[string]float64 `json:"sizes"`
	Totals []totalRow         `json:"totals"`
}

type slope struct {
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bench is the benchmark that measures the value, or the origin of the value.
	Bench string `json:"bench"`
}

// totalRow is a total: a sum of products of named values. A factor "/x" divides by x.
type totalRow struct {
	Name  string     `json:"name"`
	Sum   [][]string `json:"sum"`
	Unit  string     `json:"unit"`
	Value float64    `json:"value"`
	// Limit is 0 if the target deployment sets no limit.
	Limit float64 `json:"limit"`
}

// factor returns the value of a name, or its reciprocal if the name starts with "/".
func (m *capacityModel) factor(name string) (float64, error) {
	base, divides := strings.CutPrefix(name, "/")
	v, ok := m.Sizes[base]
	if s, isSlope := m.Slopes[base]; isSlope {
		v, ok = s.Value, true
	}
	if !ok || v == 0 {
		return 0, fmt.Errorf("value %q is missing or zero", base)
	}
	if divides {
		return 1 / v, nil
	}
	return v, nil
}

// total computes the sum of products of a row.
func (m *capacityModel) total(r *totalRow) (float64, error) {
	sum := 0.0
	for _, product := range r.Sum {
		p := 1.0
		for _, name := range product {
			f, err := m.factor(name)
			if err != nil {
				return 0, fmt.Errorf("%s: %w", r.Name, err)
			}
			p *= f
		}
		sum += p
	}
	return sum, nil
}

// formatNumber formats a value without an exponent.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// limitText returns the text of the capacity page that compares a total with its limit.
func (r *totalRow) limitText() string {
	switch {
	case r.Limit == 0:
		return ""
	case r.Value > r.Limit:
		return fmt.Sprintf("**%.1f x the limit of %g**", r.Value/r.Limit, r.Limit)
	default:
		return fmt.Sprintf("within %g", r.Limit)
	}
}

// Guards against totals in docs/capacity.json that do not follow from its slopes and
// sizes, and against rows of docs/CAPACITY.md that differ from these values.
func TestCapacityTotals(t *testing.T) {
	text, err := os.ReadFile("../docs/capacity.json")
	assert.NilError(t, err)
	var m capacityModel
	assert.NilError(t, json.Unmarshal(text, &m))
	page, err := os.ReadFile("../docs/CAPACITY.md")
	assert.NilError(t, err)
	for i := range m.Totals {
		r := &m.Totals[i]
		got, err := m.total(r)
		assert.NilError(t, err)
		assert.Assert(t, math.Abs(got-r.Value) <= 0.005*math.Abs(got), "%s: computed %.4g, file says %.4g", r.Name, got, r.Value)
		row := fmt.Sprintf("| %s | %s %s | %s |", r.Name, formatNumber(r.Value), r.Unit, r.limitText())
		assert.Assert(t, strings.Contains(string(page), row), "docs/CAPACITY.md lacks the row %s", row)
	}
	for name, s := range m.Slopes {
		row := fmt.Sprintf("| `%s` | %s %s | %s |", name, formatNumber(s.Value), s.Unit, s.Bench)
		assert.Assert(t, strings.Contains(string(page), row), "docs/CAPACITY.md lacks the row %s", row)
	}
}
