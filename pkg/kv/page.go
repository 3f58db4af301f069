package kv

import "context"

// Page is a part of a list, in the order of the keys.
type Page struct {
	Pairs []Pair
	// Revision is the store revision at which the page was read.
	Revision int64
	// More is true if pairs with higher keys may follow.
	More bool
}

// PagedStore is a Store that returns long lists in pages.
type PagedStore interface {
	Store
	// ListPage returns the first pairs whose keys start with prefix and are higher than
	// after. Together, the pages of a list are not a snapshot.
	ListPage(ctx context.Context, prefix, after string) (Page, error)
}

// ListPage returns one page of a list. A store that is not a PagedStore returns all pairs
// in one page.
func ListPage(ctx context.Context, s Store, prefix, after string) (Page, error) {
	if paged, ok := s.(PagedStore); ok {
		return paged.ListPage(ctx, prefix, after)
	}
	pairs, revision, err := s.List(ctx, prefix)
	if err != nil {
		return Page{}, err
	}
	for len(pairs) > 0 && pairs[0].Key <= after {
		pairs = pairs[1:]
	}
	return Page{Pairs: pairs, Revision: revision}, nil
}
