package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// OddServerPrefix begins the id of each item of OddServer.
const OddServerPrefix = "x-"

// oddNumbers are texts of numbers that no field of a server can have. Some are beyond the range
// of an integer or of a floating-point number.
var oddNumbers = []string{"-1", "-7.3e15", "1e19", "-1e19", "9.3e18", "1e300", "-1e300", "1e400", "9223372036854775808", "1" + strings.Repeat("0", 400)}

// oddNumberFields are the fields for which all oddNumbers are out of range.
var oddNumberFields = []string{"slots", "coldRemainingMs", "sequence", "born"}

// oddAddresses are texts that are not the address of one host with a port.
var oddAddresses = []string{
	"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:80x", "10.0.0.1:1e3",
	"10.0.0.256:80", "256.0.0.1:80", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "[::]:80", "[ff02::1]:80", "::1:80:",
	"host.example:80", "10.0.0.1:80:80", "10.0.0.1 :80", "10.0.0.1:80\r\nX: y", "//10.0.0.1:80", "10.0.0.1:80/x",
}

// oddIDs are the ends of ids that name no server.
var oddIDs = []string{" ", "a b", "\r\nX: y", "\x00", "a/b", "é", strings.Repeat("a", 300)}

// oddValues are JSON texts of a wrong type for any field of a server.
var oddValues = []string{"null", "true", "[]", "{}", `[{"a":[1,2,{}]}]`}

// oddTexts are values that are no JSON object at all.
var oddTexts = []string{"", " ", "null", "7", `"text"`, "[]", "{", `{"service":`, "\xff\xfe\x00", `{"service":"pool"} {}`, "{}\x00"}

// nestingDepth is more than JSON decoders allow.
const nestingDepth = 20_000

// OddServer returns the id and the value of an item that another writer stores among those of
// the servers of a service and that names no server: its bytes cannot be read, a field is
// missing or has another type, or a value is none that the field can have.
func OddServer(rng *rand.Rand, service string) (id, value string) {
	id = fmt.Sprintf("%s%d", OddServerPrefix, rng.IntN(9))
	fields := map[string]string{
		"service":         fmt.Sprintf("%q", service),
		"address":         fmt.Sprintf(`"127.0.0.1:%d"`, 1+rng.IntN(1<<16-1)),
		"zone":            `"z1"`,
		"version":         `"v1"`,
		"slots":           "8",
		"state":           `"ready"`,
		"coldRemainingMs": "0",
		"sequence":        "1",
		"born":            "1700000000000",
	}
	required := []string{"service", "address", "zone", "slots", "state", "sequence"}
	switch rng.IntN(8) {
	case 0:
		return id, pick(rng, oddTexts)
	case 1:
		delete(fields, pick(rng, required))
	case 2:
		fields[pick(rng, required)] = pick(rng, oddValues)
	case 3:
		fields[pick(rng, oddNumberFields)] = pick(rng, oddNumbers)
	case 4:
		fields["address"] = quote(pick(rng, oddAddresses))
	case 5:
		fields["state"] = quote(pick(rng, []string{"", "gone", "READY", "ready "}))
	case 6:
		nested := strings.Repeat("[", nestingDepth) + strings.Repeat("]", nestingDepth)
		fields[pick(rng, []string{"extra", "slots", "zone"})] = nested
	case 7:
		id += pick(rng, oddIDs)
	}
	return id, object(fields)
}

// PutOddServer stores an item of OddServer and returns its key.
func (s *Store) PutOddServer(rng *rand.Rand, service string) string {
	id, value := OddServer(rng, service)
	s.Put("servers/"+id, value)
	return "servers/" + id
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func quote(text string) string {
	out, err := json.Marshal(text)
	if err != nil {
		panic(err) // marshaling a string cannot fail
	}
	return string(out)
}

// object returns a JSON object with the given texts of values.
func object(fields map[string]string) string {
	var b strings.Builder
	b.WriteByte('{')
	for name, value := range fields {
		if b.Len() > 1 {
			b.WriteByte(',')
		}
		b.WriteString(quote(name) + ":" + value)
	}
	b.WriteByte('}')
	return b.String()
}
