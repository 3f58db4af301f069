package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun means that the case could not run, which is exit status 2.
type cannotRun struct{ err error }

func freePort(host string) int {
	lis, err := net.Listen("tcp", host+":0")
	check(err)
	defer lis.Close()
	return lis.Addr().(*net.TCPAddr).Port
}

// sharedPort returns a port that is free on all the hosts.
func sharedPort(hosts ...string) int {
next:
	for range 50 {
		port := freePort(hosts[0])
		for _, h := range hosts[1:] {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				continue next
			}
			lis.Close()
		}
		return port
	}
	panic(cannotRun{fmt.Errorf("no port is free on all hosts")})
}

// recorder writes record.txt and counts what breaks the rule.
type recorder struct {
	mu      sync.Mutex
	out     *bufio.Writer
	began   time.Time
	faults  int
	arrival func(l *lifetime, id string, draining bool)
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) broken(format string, args ...any) {
	r.log("BROKEN "+format, args...)
	r.mu.Lock()
	r.faults++
	r.mu.Unlock()
}

func (r *recorder) arrived(l *lifetime, id string, draining bool) {
	if r.arrival != nil {
		r.arrival(l, id, draining)
	}
}

// bed holds what a case has started.
type bed struct {
	root, dir string // of the repository, and a temporary folder
	trouble   bool
	rec       *recorder
	st        *store
	port      int        // of the processes beside the model servers
	mu        sync.Mutex // holds procs and waits
	procs     []*exec.Cmd
	waits     []chan struct{}
}

// placeholders are filled in as DEPLOY.md says: the bounds are those of the small deployments.
var bounds = map[string]string{
	"bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "56",
	"bounds.configApplyMs": "2000", "bounds.drainMs": "2000",
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	absent      = regexp.MustCompile(`(?s)\{\{\^([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a template of the deploy file.
func (b *bed) render(template string, values map[string]string) string {
	text, err := os.ReadFile(filepath.Join(b.root, template))
	check(err)
	value := func(name string) string {
		if v, ok := values[name]; ok {
			return v
		}
		return bounds[name]
	}
	s := section.ReplaceAllStringFunc(string(text), func(m string) string {
		p := section.FindStringSubmatch(m)
		if value(p[1]) == "" {
			return ""
		}
		return p[2]
	})
	s = absent.ReplaceAllStringFunc(s, func(m string) string {
		p := absent.FindStringSubmatch(m)
		if value(p[1]) != "" {
			return ""
		}
		return p[2]
	})
	return placeholder.ReplaceAllStringFunc(s, func(m string) string { return value(placeholder.FindStringSubmatch(m)[1]) })
}

// start starts a role with the command of the deploy file, with the path of its settings in a
// temporary folder.
func (b *bed) start(role, template string, values map[string]string) *exec.Cmd {
	deploy, err := os.ReadFile(filepath.Join(b.root, "deploy/system.toml"))
	check(err)
	_, rest, ok := strings.Cut(string(deploy), "[roles."+role+"]")
	_, rest, ok2 := strings.Cut(rest, `run = "`)
	command, _, ok3 := strings.Cut(rest, `"`)
	if !ok || !ok2 || !ok3 {
		panic(cannotRun{fmt.Errorf("no command for the role %s", role)})
	}
	name := values["nodeName"]
	settings := filepath.Join(b.dir, name+".ini")
	check(os.WriteFile(settings, []byte(b.render(template, values)), 0o600))
	words := strings.Fields(strings.ReplaceAll(command, "/etc/fescuecourse/settings.yaml", settings))
	log, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(filepath.Join(b.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = b.root, log, log
	check(cmd.Start())
	done := make(chan struct{})
	go func() {
		cmd.Wait()
		log.Close()
		close(done)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.procs, b.waits = append(b.procs, cmd), append(b.waits, done)
	return cmd
}

// memory returns the anonymous memory of a process in bytes, or 0 if it has ended.
func memory(cmd *exec.Cmd) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	var kb int64
	fmt.Sscan(rest, &kb)
	return kb << 10
}

// entry starts an entry and returns its address for callers and that for readiness.
func (b *bed) entry(name, host, zone string) (front, ready string) {
	front, ready = fmt.Sprintf("%s:%d", host, freePort(host)), fmt.Sprintf("%s:%d", host, freePort(host))
	b.start("entry", "deploy/entry.ini", map[string]string{
		"nodeName": name, "zone": zone, "listen.front": front, "listen.ready": ready, "platform.address": b.st.open(name),
		"internalPorts.0": fmt.Sprint(b.port), "limits.memoryMb": "284", "bootstrap": "true",
	})
	return front, ready
}

// endpoint starts the process beside a model server.
func (b *bed) endpoint(name string, s *server) {
	b.start("endpoint", "deploy/endpoint.ini", map[string]string{
		"nodeName": name, "ip": s.cfg.host, "platform.address": b.st.open(name), "app": s.add, "service": s.cfg.service,
		"internalPorts.0": fmt.Sprint(b.port), "limits.memoryMb": "216",
	})
}

// stop ends all processes that the case has started.
func (b *bed) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range b.procs {
		p.Process.Kill()
		<-b.waits[i]
	}
}

func awaitReady(addresses ...string) {
	deadline := time.Now().Add(20 * time.Second)
	for _, a := range addresses {
		for {
			resp, err := http.Get("http://" + a + "/api/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				panic(cannotRun{fmt.Errorf("%s is not ready", a)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// answer is what a client attempt got.
type answer struct {
	id       string
	status   int
	stamp    string
	body     []byte
	events   []event
	complete bool
	retry    string
	err      error
	took     time.Duration
}

type event struct{ id, data string }

// call sends one client attempt on a new channel, and reads the answer to its end.
func call(ctx context.Context, front, host, method, path, id string, budget time.Duration, headers map[string]string, body string) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	a.id = id
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	check(err)
	req.Host = host
	req.Header.Set(pre+"Request-Id", id)
	req.Header.Set(pre+"Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamp, a.retry = resp.StatusCode, resp.Header.Get(pre+"Server-Stamp"), resp.Header.Get("Retry-After")
	var text bytes.Buffer
	_, a.err = io.Copy(&text, resp.Body)
	a.complete = a.err == nil
	a.body = text.Bytes()
	for _, part := range strings.Split(text.String(), "\n\n") {
		e := event{}
		for _, line := range strings.Split(part, "\n") {
			if v, ok := strings.CutPrefix(line, "id: "); ok {
				e.id = v
			}
			if v, ok := strings.CutPrefix(line, "data: "); ok {
				e.data = v
			}
		}
		if e.id != "" {
			a.events = append(a.events, e)
		}
	}
	return a
}
