package kv

// Era counts how often a store has returned to an earlier copy of its data, and so
// lost acknowledged writes. Revisions are given out again after a return, so they can
// only be compared within one era. Zero means that the era is not known.
type Era uint64

// EraStore is a Store that may return to an earlier copy of its data. A watch ends
// when the era changes.
type EraStore interface {
	Store
	// Era returns the latest era that any response of the store has named.
	Era() Era
}

// EraOf returns the era of a store, or 0 if the store never returns to an earlier
// copy.
func EraOf(s Store) Era {
	if e, ok := s.(EraStore); ok {
		return e.Era()
	}
	return 0
}
