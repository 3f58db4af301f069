// Package ident defines the identifiers, priorities and outcomes of requests that
// are shared by all packages.
package ident

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// Team is the name of a team.
type Team string

// EndpointID identifies an endpoint: a server that runs requests, together with the
// fescuecourse process beside it.
type EndpointID string

// EntryID identifies an entry process.
type EntryID string

// AvailabilityZone is the name of an availability zone, such as "obihiro-a".
type AvailabilityZone string

// RequestID identifies an accepted request. It is 16 random bytes in hexadecimal.
type RequestID string

// Incarnation identifies one run of an endpoint process, from its start to its end.
// It is never zero.
type Incarnation uint64

// BundleVersion is the version of a configuration bundle. Versions start at 1.
type BundleVersion uint64

// EngineVersion identifies what, beside the adapter and the request, determines the
// output of an engine. Fields that an engine does not report are empty. Values are
// compared with ==, so engines that report nothing count as one version.
type EngineVersion struct {
	// Software is the version of the inference software.
	Software string
	// Weights is the version of the base model's weights.
	Weights string
}

// String returns software/weights, with "-" for a field that is empty.
func (v EngineVersion) String() string {
	return cmp.Or(v.Software, "-") + "/" + cmp.Or(v.Weights, "-")
}

// ErrMalformedModel means that a model name is not team/adapter or
// team/adapter@version.
var ErrMalformedModel = errors.New("model name must be team/adapter or team/adapter@version")

// Adapter identifies one version of a LoRA adapter.
type Adapter struct {
	Team    Team
	Name    string
	Version string
}

// String returns team/name@version, or team/name if the version is empty.
func (a Adapter) String() string {
	if a.Version == "" {
		return string(a.Team) + "/" + a.Name
	}
	return string(a.Team) + "/" + a.Name + "@" + a.Version
}

// IsZero reports whether a is the zero value, which identifies no adapter.
func (a Adapter) IsZero() bool { return a == Adapter{} }

// ParseAdapter parses team/name or team/name@version. It returns ErrMalformedModel
// for any other string.
func ParseAdapter(s string) (Adapter, error) {
	team, rest, ok := strings.Cut(s, "/")
	if !ok {
		return Adapter{}, ErrMalformedModel
	}
	name, version, hasVersion := strings.Cut(rest, "@")
	if team == "" || name == "" || (hasVersion && version == "") || strings.ContainsAny(name+version, "/@ ") {
		return Adapter{}, ErrMalformedModel
	}
	return Adapter{Team: Team(team), Name: name, Version: version}, nil
}

// AttemptID identifies one attempt to run a request. Attempts count from 1.
type AttemptID struct {
	Request RequestID
	Attempt uint32
}

// Outcome is the final result of an accepted request.
type Outcome uint8

// Every accepted request ends with exactly one of these outcomes.
const (
	// Pending means that no outcome has been recorded.
	Pending Outcome = iota
	// Answered means that the client got a complete response.
	Answered
	// NotRun means that the request was not run and will not be run.
	NotRun
	// Unknown means that the request was sent and its result was lost, so that it
	// may or may not have run.
	Unknown
)

// String returns the value of the Fescue-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "pending"
	}
}

// NewRequestID returns a random request ID.
func NewRequestID() RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return RequestID(hex.EncodeToString(b[:]))
}

// NewIncarnation returns a random non-zero incarnation.
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails, see crypto/rand
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return Incarnation(n)
		}
	}
}

// Priority is the scheduling class of a request.
type Priority uint8

// Priority classes, lowest first.
const (
	PriorityBatch Priority = iota + 1
	PriorityNormal
	PriorityHigh
)

// String returns the name of the priority in bundles.
func (p Priority) String() string {
	switch p {
	case PriorityBatch:
		return "batch"
	case PriorityHigh:
		return "high"
	default:
		return "normal"
	}
}
