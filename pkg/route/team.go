package route

import (
	"github.com/cockroachdb/errors"

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

// CheckTeams returns an error that names the first wrong value of the teams, or nil. The
// digests of keys are not named.
func CheckTeams(teams []Team) error {
	var (
		names = map[ident.Team]bool{}
		keys  credential.Index[ident.Team]
	)
	for i := range teams {
		t := &teams[i]
		switch {
		case t.Name == "":
			return errors.Newf("team %d has no name", i)
		case names[t.Name]:
			return errors.Newf("team %q is listed twice", t.Name)
		case t.Priority != nil && *t.Priority < 0:
			return errors.Newf("team %q has a negative priority", t.Name)
		case t.Quota.PerSecond < 0 || t.Quota.Burst < 0 || t.Quota.PlainTokens < 0:
			return errors.Newf("team %q has a negative quota", t.Name)
		}
		names[t.Name] = true
		for n, key := range t.Keys {
			if !keys.Add(key, t.Name) {
				other, _ := keys.Owner(key)
				return errors.Newf("key %d of team %q belongs to team %q", n, t.Name, other)
			}
		}
	}
	return nil
}
