package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

const (
	// steadyTeam keeps its key, and rotatingTeam gets new ones in place of the old.
	steadyTeam, rotatingTeam = "steady", "rotating"
	steadyKey                = "key-steady"
	// rotatedKeyShare is the fraction of the requests to plain servers with a key of
	// rotatingTeam, and revokedKeyShare that of revoked ones among them.
	rotatedKeyShare, revokedKeyShare = 0.3, 0.4
	// keyBound is the time within which a change of the keys is in force at all entries while
	// there are no faults, and after them.
	keyBound = 3 * time.Second
	// newKeyTime is how long an entry may refuse a new key. A frozen entry, or one without the
	// store, does not know it before its fault ends.
	newKeyTime = maxFaultDuration + keyBound
)

// testKey is an API key.
type testKey struct {
	key, team string
	issued    time.Time
	// revoked is when the operator revoked the key, or zero.
	revoked time.Time
}

// keyring holds the keys of the teams.
type keyring struct {
	mu     sync.Mutex
	steady *testKey
	// rotated are the keys of rotatingTeam that are or were in force, the latest last, and
	// listed is the one in the operator's configuration.
	rotated []*testKey
	listed  *testKey
}

func newKeyring() *keyring {
	r := &keyring{steady: &testKey{key: steadyKey, team: steadyTeam}}
	r.issue(r.list())
	return r
}

// list creates a key that the next configuration lists in place of the latest one.
func (r *keyring) list() *testKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = &testKey{key: fmt.Sprintf("key-%d", len(r.rotated)), team: rotatingTeam}
	return r.listed
}

// issue records that a configuration with the key has been written.
func (r *keyring) issue(k *testKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.issued = time.Now()
	if n := len(r.rotated); n > 0 {
		r.rotated[n-1].revoked = k.issued
	}
	r.rotated = append(r.rotated, k)
}

func (r *keyring) tenants() []platform.Tenant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []platform.Tenant{{Name: steadyTeam, APIKeys: []string{r.steady.key}}, {Name: rotatingTeam, APIKeys: []string{r.listed.key}}}
}

// pick returns a key for a request. Streams use the steady key, so that their callers can
// resume them.
func (r *keyring) pick(rng *rand.Rand, service string) *testKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := len(r.rotated) - 1
	switch {
	case service != plainService || rng.Float64() >= rotatedKeyShare:
		return r.steady
	case latest > 0 && rng.Float64() < revokedKeyShare:
		return r.rotated[rng.IntN(latest)]
	default:
		return r.rotated[latest]
	}
}

// rotateKey gives rotatingTeam a new key in place of its latest one.
func (tb *testbed) rotateKey() {
	k := tb.keys.list()
	tb.writeConfig()
	tb.keys.issue(k)
}

// isRevoked reports whether the key of a request is no longer valid.
func (r *requestRecord) isRevoked() bool { return r.key != nil && !r.key.revoked.IsZero() }

// mayLackKey reports whether an entry may have refused the key of a request: it is revoked or
// new.
func (r *requestRecord) mayLackKey() bool {
	return r.status == http.StatusUnauthorized && (r.isRevoked() || r.key != nil && r.sent.Sub(r.key.issued) < newKeyTime)
}

// checkKey returns a description of each guarantee on API keys that a request violates, given
// its executions.
func checkKey(r *requestRecord, runs []platform.Run) []string {
	if r.key == nil {
		return nil
	}
	var out []string
	for _, run := range runs {
		if run.Tenant != r.key.team {
			out = append(out, fmt.Sprintf("ran for team %q, its key belongs to %q", run.Tenant, r.key.team))
		}
		if run.KeySeen {
			out = append(out, "a server saw its key")
		}
	}
	since := r.sent.Sub(r.key.revoked)
	if len(runs) > 0 && r.inRecovery && r.isRevoked() && since > keyBound {
		out = append(out, fmt.Sprintf("ran with a key that was revoked %v before", since))
	}
	return out
}
