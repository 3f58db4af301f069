package locality

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// Scope identifies what cached prompt data was computed with. Data of one scope must not
// be used in another one. Servers do not check this when they fetch from each other, so
// every record of cached data and every choice of a source names the scope.
type Scope struct {
	Key fleet.AdapterKey
	// Software is the software version of the server.
	Software string
	// Weights is the version of the base model's weights.
	Weights int
	// Adapter is the version of the adapter, or 0 for the base model itself.
	Adapter int
}

// Version returns the version that a request in this scope names to the server: that of
// the adapter, or that of the weights for the base model itself.
func (s Scope) Version() int {
	if s.Key.Name == "" {
		return s.Weights
	}
	return s.Adapter
}

// known reports whether all versions of the scope are known. Cached data of other scopes is
// not fetched from another server.
func (s Scope) known() bool {
	return s.Weights > 0 && (s.Key.Name == "" || s.Adapter > 0)
}

// scopeAt returns the scope in which a server with the given status runs requests for an
// adapter or base model. Versions that the server does not hold or report are 0.
func scopeAt(e *fleet.Endpoint, st *fleet.Status, k fleet.AdapterKey) Scope {
	if st == nil {
		return Scope{Key: k, Software: e.SoftwareVersion}
	}
	return Scope{Key: k, Software: e.SoftwareVersion, Weights: weightsAt(st, k.Model), Adapter: st.Residents[k]}
}

// weightsAt returns the version of a base model's weights at a server with the given
// status, or 0 if it is not known.
func weightsAt(st *fleet.Status, model string) int {
	if st == nil {
		return 0
	}
	return st.Models[model]
}

// PartHash returns the hash that identifies a prompt part processed in a scope.
func PartHash(s Scope, id string) uint64 {
	weights, adapter := strconv.Itoa(s.Weights), strconv.Itoa(s.Adapter)
	return xxhash.Sum64String(s.Software + "/" + s.Key.Model + "@" + weights + "/" + s.Key.Name + "@" + adapter + "/" + id)
}

// partHashes returns the hashes of all parts of a prompt processed in a scope.
func partHashes(s Scope, parts []Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, part := range parts {
		out[i] = PartHash(s, part.ID)
	}
	return out
}

// SharedParts returns the hashes of the prompt parts that other requests may share.
// These are all but the last part, which belongs to the request itself or to its
// session.
func SharedParts(s Scope, parts []Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	return partHashes(s, parts[:len(parts)-1])
}

// promptHashes caches the hashes of the parts of one prompt, because few scopes are in
// use among the many servers that are considered for it.
type promptHashes struct {
	parts   []Part
	byScope []scopeHashes
}

type scopeHashes struct {
	scope  Scope
	hashes []uint64
}

// in returns the hashes of the prompt's parts processed in a scope.
func (p *promptHashes) in(s Scope) []uint64 {
	for i := range p.byScope {
		if p.byScope[i].scope == s {
			return p.byScope[i].hashes
		}
	}
	hashes := partHashes(s, p.parts)
	p.byScope = append(p.byScope, scopeHashes{scope: s, hashes: hashes})
	return hashes
}
