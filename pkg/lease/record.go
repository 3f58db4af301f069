package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
	"github.com/fescuecourse/fescuecourse/pkg/kv"
)

// Prefixes of the keys. The record is not attached to a key-value lease, because
// the fencing token must keep growing after a holder's lease has expired. The
// presence key is attached to it, so that it vanishes with its holder.
const (
	recordPrefix   = "/fescue/lease/"
	presencePrefix = "/fescue/lease-presence/"
)

// RecordKey is the key of the record of an endpoint's engine.
func RecordKey(id ident.EndpointID) string { return recordPrefix + string(id) }

// PresenceKey is the key that exists while the holder renews its lease.
func PresenceKey(id ident.EndpointID) string { return presencePrefix + string(id) }

// Record is the stored state of an engine lease.
type Record struct {
	// Token grows by one with each takeover.
	Token uint64 `json:"token"`
	// Holder is unique for each start of a process.
	Holder string `json:"holder"`
	// Lease is the key-value lease of the holder.
	Lease kv.LeaseID `json:"lease"`
	// Released is true if the holder gives no commands any more.
	Released bool `json:"released"`
	// TTLMS and CommandDeadlineMS bound the effect of the holder's commands.
	TTLMS             int64 `json:"ttl_ms"`
	CommandDeadlineMS int64 `json:"command_deadline_ms"`
}

// settle is how long commands of the record's holder can take effect after its
// key-value lease was revoked.
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
