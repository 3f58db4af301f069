package admin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/fescuecourse/fescuecourse/pkg/bundle"
	"github.com/fescuecourse/fescuecourse/pkg/rollout"
)

// Default and maximum number of items in one page of a list.
const (
	defaultPageItems = 1000
	maxPageItems     = 10_000
)

var (
	errNotFound = errors.New("not found")
	errNoBundle = errors.New("no bundle is active")
)

// Field is one key of an item with its value, such as weight or versions.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Item is one section of a bundle, such as a team or an adapter.
type Item struct {
	Name   string  `json:"name"`
	Fields []Field `json:"fields"`
}

// Page is one page of a collection, sorted by name, with the version of the bundle.
// If More is set, the next page starts after the last name.
type Page struct {
	Version uint64 `json:"version"`
	Items   []Item `json:"items"`
	More    bool   `json:"more"`
}

// sectionKind returns the section kind of a collection, or an empty string if there is
// no such collection.
func sectionKind(collection string) string {
	switch collection {
	case "teams":
		return "team"
	case "adapters":
		return "adapter"
	case "services":
		return "service"
	case "routes":
		return "route"
	case "reviewers":
		return "reviewer"
	}
	return ""
}

// getBundle responds with the accepted rollout that is active on this node.
func (s *Server) getBundle(w http.ResponseWriter, _ *http.Request) {
	a := s.syncer.ActiveBundle()
	if a == nil {
		writeError(w, errNoBundle)
		return
	}
	writeJSON(w, http.StatusOK, a.Root.AcceptedRollout())
}

// activeBundle returns the active bundle for a request on a collection with the given
// section kind. It returns errNotFound if the kind is empty, that is, if there is no
// such collection, and errNoBundle if no bundle is active yet.
func (s *Server) activeBundle(kind string) (*rollout.ActiveBundle, error) {
	if kind == "" {
		return nil, errNotFound
	}
	a := s.syncer.ActiveBundle()
	if a == nil {
		return nil, errNoBundle
	}
	return a, nil
}

// list responds with a page of a collection. The query parameters are after, the last
// name of the previous page, and limit, the maximum number of items.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := sectionKind(chi.URLParam(r, "collection"))
	a, err := s.activeBundle(kind)
	if err != nil {
		writeError(w, err)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultPageItems
	}
	limit = min(limit, maxPageItems)
	names := namesAfter(a, kind, r.URL.Query().Get("after"))
	page := Page{Version: uint64(a.Root.Version), More: len(names) > limit, Items: []Item{}}
	names = names[:min(limit, len(names))]
	forEachSection(a, kind, func(sec *bundle.Section) {
		if _, ok := slices.BinarySearch(names, sec.Name); ok {
			page.Items = append(page.Items, newItem(sec))
		}
	})
	slices.SortFunc(page.Items, func(x, y Item) int { return strings.Compare(x.Name, y.Name) })
	writeJSON(w, http.StatusOK, page)
}

// forEachSection calls yield for each section of a kind. It reads a part that the
// bundle lists several times only once.
func forEachSection(a *rollout.ActiveBundle, kind string, yield func(*bundle.Section)) {
	seen := map[string]bool{}
	for _, name := range a.Root.Parts {
		if seen[name] {
			continue
		}
		seen[name] = true
		bundle.Scan(a.Parts[name], func(sec *bundle.Section) {
			if sec.Kind == kind {
				yield(sec)
			}
		})
	}
}

// namesAfter returns the sorted names of the sections of a kind that sort after the
// name after.
func namesAfter(a *rollout.ActiveBundle, kind, after string) []string {
	var names []string
	forEachSection(a, kind, func(sec *bundle.Section) {
		if sec.Name > after {
			names = append(names, sec.Name)
		}
	})
	slices.Sort(names)
	return names
}

func newItem(sec *bundle.Section) Item {
	item := Item{Name: sec.Name, Fields: []Field{}}
	for _, k := range sec.Keys {
		item.Fields = append(item.Fields, Field{Name: k.Name, Value: k.Value})
	}
	return item
}

// findItem returns the item with the given kind and name. It returns errNotFound if
// there is no such item and errNoBundle if no bundle is active.
func (s *Server) findItem(kind, name string) (Item, error) {
	a := s.syncer.ActiveBundle()
	if a == nil {
		return Item{}, errNoBundle
	}
	item, err := Item{}, errNotFound
	forEachSection(a, kind, func(sec *bundle.Section) {
		if sec.Name == name {
			item, err = newItem(sec), nil
		}
	})
	return item, err
}

// get responds with one item.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	item, err := s.findItem(sectionKind(chi.URLParam(r, "collection")), chi.URLParam(r, "*"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

// Priority is the priority class and the scheduling weight of a team.
type Priority struct {
	Priority string `json:"priority"`
	Weight   int    `json:"weight"`
}

// getPriority responds with the priority and weight of a team. Keys that the bundle
// does not set have their defaults.
func (s *Server) getPriority(w http.ResponseWriter, r *http.Request) {
	item, err := s.findItem("team", chi.URLParam(r, "team"))
	if err != nil {
		writeError(w, err)
		return
	}
	p := Priority{Priority: "normal", Weight: 1}
	for _, f := range item.Fields {
		switch f.Name {
		case "priority":
			p.Priority = f.Value
		case "weight":
			p.Weight, _ = strconv.Atoi(f.Value) // validated when it was proposed
		}
	}
	writeJSON(w, http.StatusOK, p)
}

// putPriority proposes a bundle with a new priority and weight for a team.
func (s *Server) putPriority(w http.ResponseWriter, r *http.Request) {
	p := Priority{}
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		writeError(w, errors.Wrap(err, "decode priority"))
		return
	}
	item, err := s.findItem("team", chi.URLParam(r, "team"))
	if err != nil {
		writeError(w, err)
		return
	}
	fields := slices.DeleteFunc(item.Fields, func(f Field) bool { return f.Name == "priority" || f.Name == "weight" })
	item.Fields = append(fields, Field{"priority", p.Priority}, Field{"weight", strconv.Itoa(p.Weight)})
	s.propose(w, r, "team", item.Name, &item)
}
