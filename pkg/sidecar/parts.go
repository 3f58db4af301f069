package sidecar

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

const (
	// renewTime is how long after a part was told to the entries it is told again.
	// They expect a server to keep it for fleet.PrefixKeepTime.
	renewTime = fleet.PrefixCacheTTL / 2
	// maxParts bounds the parts that are remembered for entries which connect later.
	maxParts = 2000
)

// partNote is one part that the server has read.
type partNote struct {
	hash uint64
	at   time.Time
	// reader is the entry that knows already.
	reader *peer
}

// partLog holds the shared parts of prompts that the server has read of late, oldest
// first. Each entry reads it from where it stopped. It is not safe for concurrent
// use.
type partLog struct {
	notes []partNote
	// first is the position of notes[0], counted over the lifetime of the log.
	first int
	noted map[uint64]time.Time
}

func newPartLog() *partLog { return &partLog{noted: map[uint64]time.Time{}} }

// add notes the parts that were read for an entry, unless they were noted lately.
func (l *partLog) add(now time.Time, reader *peer, parts []uint64) {
	l.trim(now)
	for _, h := range parts {
		if at, ok := l.noted[h]; ok && now.Sub(at) < renewTime {
			continue
		}
		l.noted[h] = now
		l.notes = append(l.notes, partNote{hash: h, at: now, reader: reader})
	}
}

// trim drops what the server is no longer expected to keep, and the oldest notes
// beyond the bound.
func (l *partLog) trim(now time.Time) {
	n := 0
	for n < len(l.notes) && (now.Sub(l.notes[n].at) > fleet.PrefixCacheTTL || len(l.notes)-n > maxParts) {
		if note := l.notes[n]; l.noted[note.hash].Equal(note.at) {
			delete(l.noted, note.hash)
		}
		n++
	}
	l.notes = l.notes[n:]
	l.first += n
}

// since returns the parts noted from a position on that the entry has not read
// itself, and the position to go on from.
func (l *partLog) since(position int, p *peer) ([]uint64, int) {
	var out []uint64
	for _, note := range l.notes[min(max(position-l.first, 0), len(l.notes)):] {
		if note.reader != p {
			out = append(out, note.hash)
		}
	}
	return out, l.first + len(l.notes)
}
