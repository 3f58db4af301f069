package sidecar

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

const (
	// reannounceAfter is the time after which a prompt part that is reported again is
	// announced to the entries again. Entries assume that a server caches a part for
	// fleet.PrefixCacheTTL after it was announced.
	reannounceAfter = fleet.PrefixCacheTTL / 2
	// maxParts limits the prompt parts that are kept for entries that connect later.
	maxParts = 2000
)

// partRecord is one prompt part that the server has processed.
type partRecord struct {
	hash uint64
	at   time.Time
	// reportedBy is the entry that reported the part. It is not told of the part
	// again.
	reportedBy *peer
}

// partLog holds the hashes of the shared prompt parts that the server has processed
// recently, oldest first. Each entry reads it from its own position. It is not safe
// for concurrent use.
type partLog struct {
	records []partRecord
	// first is the position of records[0], counted from the creation of the log.
	first int
	// addedAt maps the hash of a part to the time of its latest record.
	addedAt map[uint64]time.Time
}

func newPartLog() *partLog { return &partLog{addedAt: map[uint64]time.Time{}} }

// add appends the parts that an entry reported, except for those that were added
// less than reannounceAfter ago.
func (l *partLog) add(now time.Time, reportedBy *peer, parts []uint64) {
	l.trim(now)
	for _, h := range parts {
		if at, ok := l.addedAt[h]; ok && now.Sub(at) < reannounceAfter {
			continue
		}
		l.addedAt[h] = now
		l.records = append(l.records, partRecord{hash: h, at: now, reportedBy: reportedBy})
	}
}

// trim drops the records that are older than fleet.PrefixCacheTTL and the oldest
// records beyond maxParts.
func (l *partLog) trim(now time.Time) {
	n := 0
	for n < len(l.records) && (now.Sub(l.records[n].at) > fleet.PrefixCacheTTL || len(l.records)-n > maxParts) {
		if record := l.records[n]; l.addedAt[record.hash].Equal(record.at) {
			delete(l.addedAt, record.hash)
		}
		n++
	}
	l.records = l.records[n:]
	l.first += n
}

// since returns the parts recorded from the given position on that p did not report
// itself, and the position to continue from.
func (l *partLog) since(position int, p *peer) ([]uint64, int) {
	var out []uint64
	for _, record := range l.records[min(max(position-l.first, 0), len(l.records)):] {
		if record.reportedBy != p {
			out = append(out, record.hash)
		}
	}
	return out, l.first + len(l.records)
}
