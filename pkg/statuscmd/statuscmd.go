// Package statuscmd implements fescuectl status, which shows the state of a deployment
// as its entries report it.
package statuscmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/entry"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// callTimeout bounds the call to one entry, so that an entry that hangs does not delay
// the status of the others for long.
const callTimeout = 3 * time.Second

// EntryReport is the status of one entry, or the error of reading it.
type EntryReport struct {
	Address string        `json:"address"`
	Error   string        `json:"error,omitempty"`
	Status  *entry.Status `json:"status,omitempty"`
}

// Run runs the command and returns the exit status: 0 if every entry is ready, no
// endpoint is starting and all nodes have the same bundle version, 2 for an invalid
// flag, and 1 otherwise.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("fescuectl status", flag.ContinueOnError)
	fs.SetOutput(stderr)
	entries := fs.String("entry", "127.0.0.1:8080", "`addresses` of entries, separated by commas")
	asJSON := fs.Bool("json", false, "print JSON")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	reports := fetchReports(ctx, strings.Split(*entries, ","))
	problems := findProblems(reports)
	if *asJSON {
		writeJSON(stdout, reports)
	} else {
		writeTable(stdout, reports)
	}
	for _, p := range problems {
		fmt.Fprintln(stderr, "fescuectl:", p)
	}
	if len(problems) > 0 {
		return exitFailure
	}
	return exitOK
}

// fetchReports fetches the status of all entries concurrently. It returns one report
// per address, in order.
func fetchReports(ctx context.Context, addresses []string) []EntryReport {
	out := make([]EntryReport, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() { out[i] = fetchReport(ctx, strings.TrimSpace(a)) })
	}
	wg.Wait()
	return out
}

func fetchReport(ctx context.Context, address string) EntryReport {
	s, err := fetchStatus(ctx, address)
	if err != nil {
		return EntryReport{Address: address, Error: err.Error()}
	}
	return EntryReport{Address: address, Status: s}
}

// fetchStatus requests the status of the entry at address (host:port).
func fetchStatus(ctx context.Context, address string) (*entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+entry.StatusPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build status request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("read status: HTTP status %d", resp.StatusCode)
	}
	var s entry.Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "decode status")
	}
	return &s, nil
}

// findProblems returns a message for each problem that an operator should look into.
func findProblems(reports []EntryReport) []string {
	var out []string
	newest := newestVersion(reports)
	for _, r := range reports {
		if r.Status == nil {
			out = append(out, r.Address+" gives no status: "+r.Error)
			continue
		}
		out = append(out, entryProblems(r.Status, newest)...)
	}
	return out
}

func newestVersion(reports []EntryReport) uint64 {
	var newest uint64
	for _, r := range reports {
		if r.Status != nil {
			newest = max(newest, uint64(r.Status.BundleVersion))
		}
	}
	return newest
}

// entryProblems returns the problems of an entry and of the endpoints in its status.
func entryProblems(s *entry.Status, newest uint64) []string {
	var out []string
	if !s.Ready {
		out = append(out, fmt.Sprintf("%s is not ready: %s", s.Entry, strings.Join(s.Reasons, ", ")))
	}
	if uint64(s.BundleVersion) != newest {
		out = append(out, fmt.Sprintf("%s has bundle version %d, the newest is %d", s.Entry, s.BundleVersion, newest))
	}
	for _, e := range s.Endpoints {
		if e.State == "starting" {
			out = append(out, fmt.Sprintf("%s is starting", e.ID))
		}
		if uint64(e.BundleVersion) != newest {
			out = append(out, fmt.Sprintf("%s has bundle version %d, the newest is %d", e.ID, e.BundleVersion, newest))
		}
	}
	return out
}

func writeJSON(w io.Writer, reports []EntryReport) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(reports) // a failed write to standard output cannot be reported
}

func writeTable(w io.Writer, reports []EntryReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(t, "%s\tunreachable\n", r.Address)
			continue
		}
		writeEntry(t, r.Status)
	}
	_ = t.Flush() // a failed write to standard output cannot be reported
}

func writeEntry(t io.Writer, s *entry.Status) {
	fmt.Fprintf(t, "%s\tzone %s\tready %v\tbundle %d\n", s.Entry, s.Zone, s.Ready, s.BundleVersion)
	fmt.Fprintln(t, "  endpoint\tzone\tbackend\tstate\tbundle\tage ms\trunning\tqueued\tresident\tloading\tcan load")
	for _, e := range s.Endpoints {
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%d\t%d\t%d/%d\t%d\t%d/%d\t%d\t%v\n", e.ID, e.Zone, e.Backend, e.State, e.BundleVersion,
			e.ReportAgeMS, e.Running, e.Positions, e.Queued, len(e.Residents), e.Slots, len(e.Loading), e.CanLoad)
	}
}
