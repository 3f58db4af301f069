package config

import (
	"flag"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxExactInt is the largest integer up to which a float64 represents every integer.
const maxExactInt = 1 << 53

// Float64Var defines a setting whose value is a finite number. It may be written as a
// whole number, a fraction or with an exponent, such as 8, 0.5 or 1.5e2.
func (s *Set) Float64Var(p *float64, name string, value float64, usage string) {
	*p = value
	s.Var((*floatValue)(p), name, usage)
}

// IntVar defines a setting whose value is a whole number. It may be written in any form
// of a number, such as 8, 8.0 or 8e0.
func (s *Set) IntVar(p *int, name string, value int, usage string) {
	*p = value
	s.Var((*intValue)(p), name, usage)
}

// DurationVar defines a setting whose value is a duration: a number in any form,
// followed by a unit, such as 8s, 0.5m or 1.5e2ms, or a sequence like 1h30m.
func (s *Set) DurationVar(p *time.Duration, name string, value time.Duration, usage string) {
	*p = value
	s.Var((*durationValue)(p), name, usage)
}

// floatValue, intValue and durationValue implement flag.Getter.
type (
	floatValue    float64
	intValue      int
	durationValue time.Duration
)

var (
	_ flag.Getter = (*floatValue)(nil)
	_ flag.Getter = (*intValue)(nil)
	_ flag.Getter = (*durationValue)(nil)
)

// Set implements flag.Value.
func (v *floatValue) Set(text string) error {
	f, err := parseNumber(text)
	if err != nil {
		return err
	}
	*v = floatValue(f)
	return nil
}

// String implements flag.Value.
func (v *floatValue) String() string { return strconv.FormatFloat(float64(*v), 'g', -1, 64) }

// Get implements flag.Getter.
func (v *floatValue) Get() any { return float64(*v) }

// Set implements flag.Value.
func (v *intValue) Set(text string) error {
	f, err := parseNumber(text)
	if err != nil {
		return err
	}
	if f != math.Trunc(f) || math.Abs(f) > maxExactInt {
		return errors.Newf("%q is not a whole number between -2^53 and 2^53", text)
	}
	*v = intValue(f)
	return nil
}

// String implements flag.Value.
func (v *intValue) String() string { return strconv.Itoa(int(*v)) }

// Get implements flag.Getter.
func (v *intValue) Get() any { return int(*v) }

// Set implements flag.Value.
func (v *durationValue) Set(text string) error {
	if d, err := time.ParseDuration(text); err == nil {
		*v = durationValue(d)
		return nil
	}
	d, ok := parseExponentDuration(text)
	if !ok {
		return errors.Newf("%q is not a duration such as 8s, 0.5m or 1.5e2ms, at most %s", text, time.Duration(math.MaxInt64))
	}
	*v = durationValue(d)
	return nil
}

// String implements flag.Value.
func (v *durationValue) String() string { return time.Duration(*v).String() }

// Get implements flag.Getter.
func (v *durationValue) Get() any { return time.Duration(*v) }

// parseNumber parses a finite number.
func parseNumber(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, errors.Newf("%q is not a finite number such as 8, 0.5 or 1.5e2", text)
	}
	return f, nil
}

// parseExponentDuration parses a number with an exponent and a unit, which
// time.ParseDuration does not accept.
func parseExponentDuration(text string) (time.Duration, bool) {
	end := len(text)
	for end > 0 && (text[end-1] < '0' || text[end-1] > '9') {
		end--
	}
	number, err := parseNumber(text[:end])
	if err != nil {
		return 0, false
	}
	unit, err := time.ParseDuration("1" + text[end:])
	if err != nil {
		return 0, false
	}
	d := number * float64(unit)
	if math.Abs(d) >= math.MaxInt64 {
		return 0, false
	}
	return time.Duration(math.Round(d)), true
}
