package locality

import (
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// minFetch is the number of tokens from which on a fetch from another server is
// worth its price. Reading them takes 50 ms.
const minFetch = 2000

// source is the server that has kept most of a prompt.
type source struct {
	endpoint *fleet.Endpoint
	tokens   int
	// version is that of the adapter that the prompt was read for.
	version int
}

// source looks among the holders of the adapter for the one that has kept most of
// the prompt. Only servers that are known to be well count: a server waits for the
// one that it fetches from.
func (c *Chooser) source(r *Request, endpoints []*fleet.Endpoint) source {
	var best source
	for _, e := range endpoints {
		st := e.Runtime.Status()
		if !holds(st, r) || !usable(r, e) || r.Now.Sub(st.ReceivedAt) > lateStatus || e.Runtime.Failures(r.Now) > 0 {
			continue
		}
		if tokens := c.prefixes.CachedTokens(r.Now, e, r.Key, r.Prefix); tokens > best.tokens {
			best = source{endpoint: e, tokens: tokens, version: st.Residents[r.Key]}
		}
	}
	return best
}

// useful reports whether a server should fetch from the source which has kept the
// given tokens itself. What was read for one version of an adapter is of no use to
// another one; a server that does not hold the adapter yet will load the newest.
func (s *source) useful(r *Request, e *fleet.Endpoint, kept int) bool {
	if s.endpoint == nil || s.endpoint == e || s.tokens-kept < minFetch {
		return false
	}
	st := e.Runtime.Status()
	return !holds(st, r) || st.Residents[r.Key] == s.version
}
