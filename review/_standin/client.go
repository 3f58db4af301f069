package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

// attempt is what one client attempt brought.
type attempt struct {
	id         string
	status     int
	retryAfter time.Duration
	// first and last are the numbers of its events, and software the versions that wrote them.
	first, last int
	software    []string
	complete    bool
	err         error
}

func (a *attempt) String() string {
	out := fmt.Sprintf("status %d, events %d to %d, software %v, complete %v", a.status, a.first, a.last, a.software, a.complete)
	if a.err != nil {
		out += ", " + a.err.Error()
	}
	return out
}

// ask sends one client attempt on a new channel. after is the last event that the client has,
// or 0, and resumes the attempt that brought the first one.
func (b *bed) ask(entry, adapter string, wait time.Duration, after int, resumes string, events int) *attempt {
	return b.askUntil(nil, entry, adapter, wait, after, resumes, events)
}

// askUntil is like ask. The client also closes the channel when leave is closed.
func (b *bed) askUntil(leave <-chan struct{}, entry, adapter string, wait time.Duration, after int, resumes string, events int) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-leave:
			cancel()
		case <-ctx.Done():
		}
	}()
	a := &attempt{id: fmt.Sprintf("r%06x", requests.Add(1))}
	body := strings.Repeat("x", 1700)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/chat/1", strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.Header.Set("X-Fescuecourse-Request-Id", a.id)
	req.Header.Set("X-Fescuecourse-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	model := modelName
	if adapter != "" {
		model += "/" + adapter
	}
	req.Header.Set("X-Fescuecourse-Model", model)
	req.Header.Set("X-Fescuecourse-Token-Count", "826,292")
	req.Header.Set("X-Fescuecourse-Prompt-Prefix", "5c1e07a2:198,"+a.id[1:]+":628")
	if after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
		req.Header.Set("Resumes", resumes)
	}
	b.note("client: %s to %s for %s, after event %d, resumes %q", a.id, entry, adapter, after, resumes)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wait}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		b.note("client: %s ends: %s", a.id, a)
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if a.status != http.StatusOK {
		text, _ := bufio.NewReader(resp.Body).ReadString('\n')
		b.note("client: %s ends: %s, retry-after %v: %s", a.id, a, a.retryAfter, strings.TrimSpace(text))
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var n int
		var software, server string
		if _, err := fmt.Sscan(data, &n, &software, &server); err != nil {
			a.err = err
			continue
		}
		if a.first == 0 {
			a.first = n
		}
		a.last = n
		if len(a.software) == 0 || a.software[len(a.software)-1] != software {
			a.software = append(a.software, software)
		}
	}
	if a.err == nil {
		a.err = lines.Err()
	}
	a.complete = a.err == nil && a.last == events
	b.note("client: %s ends: %s", a.id, a)
	return a
}
