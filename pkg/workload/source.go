package workload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Class is a kind of request. The requests of a class have comparable latencies.
type Class string

// Classes of requests.
const (
	ClassStream     Class = "stream"
	ClassCompletion Class = "completion"
	ClassBatch      Class = "batch"
	ClassService    Class = "service"
	// ClassNonIdempotentService is the class of service calls that must run at most
	// once.
	ClassNonIdempotentService Class = "service-once"
)

// Versions of every adapter in a generated workload. The last one is current.
const (
	firstVersion   = "1"
	CurrentVersion = "2"
)

// Paths of idempotent and non-idempotent service calls.
const (
	pathIdempotent    = "status"
	pathNonIdempotent = "handoff"
)

// Request is one request of a workload.
type Request struct {
	Seq   int
	Class Class
	Team  *Team
	// Adapter is the adapter, with the version, that must serve the request.
	Adapter ident.Adapter
	// Model is the model name in the request, with or without an adapter version.
	Model   string
	Chat    bool
	Service string
	Path    string
	// Prompt is unique within a workload.
	Prompt string
	Tokens int
	// Key is the idempotency key, or empty.
	Key      string
	Deadline time.Duration
}

// IsModel reports whether the request goes to a model.
func (r *Request) IsModel() bool { return r.Service == "" }

// Streams reports whether the request asks for a streamed response.
func (r *Request) Streams() bool { return r.Class == ClassStream }

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Content returns the text by which fake backends identify a request: the prompt or
// the messages as JSON, or the body of a service call.
func (r *Request) Content() string {
	var v any = r.Prompt
	switch {
	case !r.IsModel():
		return r.Prompt
	case r.Chat:
		v = []chatMessage{{Role: "user", Content: r.Prompt}}
	}
	text, _ := json.Marshal(v) // strings always marshal
	return string(text)
}

// Arrival is a request and its intended start, relative to the start of the run.
type Arrival struct {
	At      time.Duration
	Request Request
}

// Source generates random requests. Equal specs and seeds give equal requests.
type Source struct {
	spec  *Spec
	seed  uint64
	rng   *rand.Rand
	zipfs []*rand.Zipf
	next  int
}

// NewSource returns a source of the requests of a workload.
func NewSource(spec *Spec, seed uint64) *Source {
	s := &Source{spec: spec, seed: seed, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, t := range spec.Teams {
		s.zipfs = append(s.zipfs, rand.NewZipf(s.rng, spec.Load.ZipfExponent, 1, uint64(t.Adapters-1)))
	}
	return s
}

// Interactive returns the next interactive request. Its intended start, at, decides
// whether the shift of adapter popularity has taken place.
func (s *Source) Interactive(at time.Duration) Request {
	team := s.pickTeam()
	if s.rng.Float64() < s.spec.Load.ServiceShare {
		return s.serviceCall(team)
	}
	class := ClassCompletion
	if s.rng.Float64() < s.spec.Load.StreamShare {
		class = ClassStream
	}
	return s.modelCall(team, class, at)
}

// Batch returns the next request of the batch team.
func (s *Source) Batch(at time.Duration) Request {
	return s.modelCall(s.spec.BatchTeam, ClassBatch, at)
}

func (s *Source) pickTeam() int {
	x := s.rng.Float64()
	last := 0
	for i, t := range s.spec.Teams {
		if t.Share == 0 {
			continue
		}
		last = i
		if x < t.Share {
			return i
		}
		x -= t.Share
	}
	return last
}

func (s *Source) newRequest(team int, class Class) Request {
	s.next++
	return Request{
		Seq:      s.next,
		Class:    class,
		Team:     &s.spec.Teams[team],
		Prompt:   fmt.Sprintf("seed %d request %d", s.seed, s.next),
		Deadline: s.spec.Load.Deadline,
	}
}

func (s *Source) modelCall(team int, class Class, at time.Duration) Request {
	r := s.newRequest(team, class)
	l := &s.spec.Load
	rank := int(s.zipfs[team].Uint64())
	if l.ShiftAt > 0 && at >= l.ShiftAt {
		rank += l.ShiftRanks
	}
	r.Adapter = ident.Adapter{Team: r.Team.Name, Name: AdapterName(rank % r.Team.Adapters), Version: CurrentVersion}
	r.Model = r.Adapter.String()
	// One request in ten names the previous version, four in ten name no version.
	switch s.rng.IntN(10) {
	case 0:
		r.Adapter.Version = firstVersion
		r.Model = r.Adapter.String()
	case 1, 2, 3, 4:
		r.Model = string(r.Team.Name) + "/" + r.Adapter.Name
	}
	r.Chat = s.rng.IntN(2) == 0
	r.Tokens = l.TokensMin + s.rng.IntN(l.TokensMax-l.TokensMin+1)
	return r
}

func (s *Source) serviceCall(team int) Request {
	class, path := ClassService, pathIdempotent
	if s.rng.Float64() < s.spec.Load.NonIdempotentShare {
		class, path = ClassNonIdempotentService, pathNonIdempotent
	}
	r := s.newRequest(team, class)
	r.Service, r.Path = s.spec.Deployment.Service, path
	if class == ClassNonIdempotentService && s.rng.Float64() < s.spec.Load.KeyedShare {
		r.Key = fmt.Sprintf("key-%d-%d", s.seed, r.Seq)
	}
	return r
}

// Schedule returns all arrivals within the duration, sorted by time: interactive
// requests as a Poisson process, and the requests of the batch.
func Schedule(spec *Spec, seed uint64, duration time.Duration) []Arrival {
	s := NewSource(spec, seed)
	var out []Arrival
	at := s.interarrivalTime()
	for at < duration {
		out = append(out, Arrival{At: at, Request: s.Interactive(at)})
		at += s.interarrivalTime()
	}
	l := &spec.Load
	for range l.BatchRequests {
		at := l.BatchAt + time.Duration(s.rng.Float64()*float64(l.BatchSpread))
		if at < duration {
			out = append(out, Arrival{At: at, Request: s.Batch(at)})
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

func (s *Source) interarrivalTime() time.Duration {
	return time.Duration(s.rng.ExpFloat64() / s.spec.Load.RequestsPerSecond * float64(time.Second))
}

// popularitySamples is the number of requests that are generated to rank adapters.
const popularitySamples = 50_000

// MostPopularAdapters returns the n adapters that interactive requests name most
// often before the shift of popularity, most popular first.
func MostPopularAdapters(spec *Spec, n int) []ident.Adapter {
	s := NewSource(spec, 0)
	counts := map[ident.Adapter]int{}
	for range popularitySamples {
		if r := s.Interactive(0); r.IsModel() {
			counts[r.Adapter]++
		}
	}
	out := make([]ident.Adapter, 0, len(counts))
	for a := range counts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b ident.Adapter) int {
		if c := counts[b] - counts[a]; c != 0 {
			return c
		}
		return strings.Compare(a.String(), b.String())
	})
	return out[:min(n, len(out))]
}
