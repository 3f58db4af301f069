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

// Known reports whether the versions of the scope are known. No record of cached data is
// kept or used otherwise.
func (s Scope) Known() bool { return s.Weights > 0 }

// scopeAt returns the scope in which a server with the given status runs requests for an
// adapter or base model. It is not known if the server does not hold it, or does not
// report the version of its weights.
func scopeAt(st *fleet.Status, k fleet.AdapterKey) Scope {
	if st == nil {
		return Scope{}
	}
	adapter, resident := st.Residents[k]
	if k.Name != "" && !resident {
		return Scope{}
	}
	return Scope{Key: k, Weights: weightsAt(st, k.Model), Adapter: adapter}
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
	return xxhash.Sum64String(s.Key.Model + "@" + weights + "/" + s.Key.Name + "@" + adapter + "/" + id)
}

// SharedParts returns the hashes of the prompt parts that other requests may share.
// These are all but the last part, which belongs to the request itself or to its
// session.
func SharedParts(s Scope, parts []Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		out = append(out, PartHash(s, part.ID))
	}
	return out
}
