package locality

import (
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// minFetchTokens is the smallest number of tokens for which fetching cached prompt
// parts from another server is worth its cost. Processing so many tokens takes about
// 50 ms.
const minFetchTokens = 2000

// source is the server that has the longest cached prefix of a prompt.
type source struct {
	endpoint *fleet.Endpoint
	tokens   int
	// version is the version of the adapter for which the prompt was processed.
	version int
}

// source returns the server that has the adapter loaded and the longest prefix of the
// prompt in its cache. It considers only servers with a recent status report and no
// recent failures, because a server that fetches from another one waits for it.
func (c *Chooser) source(r *Request, endpoints []*fleet.Endpoint) source {
	var best source
	for _, e := range endpoints {
		st := e.Runtime.Status()
		if !holds(st, r) || !usable(r, e) || r.Now.Sub(st.ReceivedAt) > lateStatusAge || e.Runtime.Failures(r.Now) > 0 {
			continue
		}
		if tokens := c.prefixes.CachedTokens(r.Now, e, r.Key, r.Prefix); tokens > best.tokens {
			best = source{endpoint: e, tokens: tokens, version: st.Residents[r.Key]}
		}
	}
	return best
}

// worthFetching reports whether a server should fetch from the source, where cached
// is the number of prompt tokens in the server's own cache. Data cached for one
// version of an adapter cannot be used for another version. A server that does not
// have the adapter yet will load the newest version.
func (s *source) worthFetching(r *Request, e *fleet.Endpoint, cached int) bool {
	if s.endpoint == nil || s.endpoint == e || s.tokens-cached < minFetchTokens {
		return false
	}
	st := e.Runtime.Status()
	return !holds(st, r) || st.Residents[r.Key] == s.version
}
