// Package ident defines the typed identifiers and outcomes shared by all parts.
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// Team names a tenant.
type Team string

// EndpointID names a back end together with the fescuecourse process beside it.
type EndpointID string

// EntryID names an entry process.
type EntryID string

// AvailabilityZone names an availability zone, such as "obihiro-a".
type AvailabilityZone string

// RequestID is unique per accepted request: 16 random bytes in hexadecimal.
type RequestID string

// Incarnation identifies one start of an endpoint process. It is never zero.
type Incarnation uint64

// BundleVersion is the version of a configuration bundle. Versions start at 1.
type BundleVersion uint64

// ErrMalformedModel reports a model name that is not team/adapter or team/adapter@version.
var ErrMalformedModel = errors.New("model name must be team/adapter or team/adapter@version")

// Adapter names one version of a LoRA adapter.
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

// IsZero reports whether a names no adapter.
func (a Adapter) IsZero() bool { return a == Adapter{} }

// ParseAdapter parses team/name or team/name@version.
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

// AttemptID names one attempt of one request. Attempts start at 1.
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
	// Answered means that the caller got a complete answer.
	Answered
	// NotRun means that the request did not run and never will.
	NotRun
	// Unknown means that the request was sent and the evidence of its result is lost.
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

// NewRequestID returns a random request id.
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

// String returns the name used in bundles.
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
