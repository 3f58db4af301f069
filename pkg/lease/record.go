package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// Key prefixes in the key-value service. The record is not attached to a key-value
// lease, because the fencing token must keep increasing after the lease of a holder has
// expired. The presence key is attached to the holder's lease, so that the key is
// deleted when the holder stops renewing the lease.
const (
	recordPrefix   = "/fescue/lease/"
	presencePrefix = "/fescue/lease-presence/"
)

// RecordKey returns the key of the lease record of an endpoint's engine.
func RecordKey(id ident.EndpointID) string { return recordPrefix + string(id) }

// PresenceKey returns the key that exists while the holder of the lease renews it.
func PresenceKey(id ident.EndpointID) string { return presencePrefix + string(id) }

// Record is the state of an engine lease in the key-value service.
type Record struct {
	// Token is the fencing token. It increases by one with each takeover.
	Token uint64 `json:"token"`
	// Holder identifies the process that holds the lease. It is unique for each start
	// of a process.
	Holder string `json:"holder"`
	// Lease is the key-value lease of the holder.
	Lease kv.LeaseID `json:"lease"`
	// Released is true if the holder has stopped sending commands.
	Released bool `json:"released"`
	// TTLMS and CommandDeadlineMS are the holder's time to live and command deadline
	// in milliseconds. They limit how long its commands can take effect.
	TTLMS             int64 `json:"ttl_ms"`
	CommandDeadlineMS int64 `json:"command_deadline_ms"`
}

// commandLifetime returns how long commands of the record's holder can still take
// effect after its key-value lease was revoked.
func (r *Record) commandLifetime() time.Duration {
	return time.Duration(r.TTLMS+r.CommandDeadlineMS) * time.Millisecond
}

func (r *Record) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode lease record")
}

func decodeRecord(b []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(b, &r)
	return r, errors.Wrap(err, "decode lease record")
}
