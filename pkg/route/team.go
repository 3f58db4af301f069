package route

import (
	"github.com/fescuecourse/fescuecourse/pkg/credential"
	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Team is a team with its API keys and its quota.
type Team struct {
	Name ident.Team
	Keys []credential.Digest
	// Priority replaces the priority of the routes, or is nil if the team has none; 0 is the
	// highest.
	Priority *int
	Quota    Quota
}

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// Units of quotas.
const (
	// Requests counts each request as one.
	Requests QuotaUnit = iota
	// Tokens counts the prompt tokens and the largest number of output tokens of a request.
	Tokens
)

// Quota limits what all entries together accept from a team.
type Quota struct {
	// PerSecond is the rate, and Burst what may be used at once beyond it. There is no limit
	// if PerSecond is 0.
	PerSecond float64
	Burst     float64
	Unit      QuotaUnit
	// PlainTokens is what a request counts for that names no number of tokens, if Unit is
	// Tokens.
	PlainTokens float64
}

// String returns the name of the unit used in logs and reports.
func (u QuotaUnit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}
