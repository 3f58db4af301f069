package locality

import (
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// minFetchTokens is the smallest number of tokens for which fetching cached prompt
// parts from another server is worth its cost. Processing so many tokens takes about
// 50 ms.
const minFetchTokens = 2000

// source is a server that has a cached prefix of a prompt, the longest in its scope.
type source struct {
	endpoint *fleet.Endpoint
	tokens   int
	scope    Scope
}

// sources holds the source of each scope in which servers have cached a prompt.
type sources []source

// sources returns the servers that have the adapter loaded and the longest prefix of the
// prompt in their caches. It considers only servers without recent failures, because a
// server that fetches from another one waits for it.
func (c *Chooser) sources(r *Request, endpoints []*fleet.Endpoint, prompt *promptHashes) sources {
	var out sources
	if r.NoSource {
		return out
	}
	for _, e := range endpoints {
		st := e.Runtime.Status()
		if !holds(st, r) || !settled(st, r) || !usable(r, e) || e.Runtime.Limited() || e.Runtime.Failures(r.Now) > 0 {
			continue
		}
		scope := scopeAt(e, st, r.Key)
		if !scope.known() || scope.Version() < r.Version {
			continue
		}
		if tokens := c.prefixes.cachedTokens(r.Now, e.Runtime, r.Prefix, prompt.in(scope)); tokens >= minFetchTokens {
			out = out.add(source{endpoint: e, tokens: tokens, scope: scope})
		}
	}
	return out
}

// settled reports whether the versions that a server holds of an adapter can be relied on:
// its status is recent, and no load is about to replace the adapter.
func settled(st *fleet.Status, r *Request) bool {
	_, loading := st.Loading[r.Key]
	return !loading && r.Now.Sub(st.ReceivedAt) <= lateStatusAge
}

// add adds a source unless there is one of its scope with as many tokens.
func (s sources) add(candidate source) sources {
	for i := range s {
		if s[i].scope != candidate.scope {
			continue
		}
		if candidate.tokens > s[i].tokens {
			s[i] = candidate
		}
		return s
	}
	return append(s, candidate)
}

// find returns the source from which a server should fetch, or nil, where scope is that
// of the server and cached is the number of prompt tokens in its own cache. A server that
// is a source itself has at least as many tokens as any other of its scope.
func (s sources) find(scope Scope, cached int) *source {
	for i := range s {
		if s[i].scope == scope && s[i].tokens-cached >= minFetchTokens {
			return &s[i]
		}
	}
	return nil
}

// findNewest returns the source from which a server without the adapter could fetch once
// it has loaded the newest version, or nil. It serves only to estimate the cost.
func (s sources) findNewest(e *fleet.Endpoint, weights int) *source {
	var best *source
	for i := range s {
		if s[i].scope.Weights != weights || s[i].scope.Software != e.SoftwareVersion || s[i].endpoint == e {
			continue
		}
		if best == nil || s[i].scope.Adapter > best.scope.Adapter {
			best = &s[i]
		}
	}
	return best
}
