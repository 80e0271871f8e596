package main

import (
	"bytes"
	"context"
	_ "embed" // for settingsText
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all instances, as on the users' platform.
const (
	controlPort  = 8000
	readyPort    = 8002
	frontendPort = 8005
	enginePort   = 8001
	proxyPort    = 8011
	startTimeout = 25 * time.Second
	caseTimeout  = 110 * time.Second
)

// zones of the site, one frontend instance in each.
var zones = []string{"bern-a", "stgallen-a", "lausanne-a"}

var regions = []string{"mittelland", "ostschweiz", "romandie"}

// settingsText is the settings file as DEPLOY.md shows it, with the bounds of the
// site brunner-routen.
//
//go:embed settings.tmpl
var settingsText string

// process is one process that the case starts.
type process struct {
	name string
	args []string
	env  []string
	log  *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// site is the deployment of one case.
type site struct {
	dir, prefix, program string
	began                time.Time
	trouble              bool
	record               *os.File

	keepers, entries []*process
	engines          []*engineProcess
	all              []*process

	mu     sync.Mutex
	broken []string
}

// notRun ends a case that can't run.
type notRun struct{ reason string }

func (s *site) fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (s *site) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.note("BROKEN: %s", text)
	s.mu.Lock()
	s.broken = append(s.broken, text)
	s.mu.Unlock()
}

// runCase plays a case and returns its exit code.
func runCase(play func(*site)) (code int) {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	pid := os.Getpid()
	s := &site{
		dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 40+pid>>8&63, pid&255), program: "target/egretproxy",
		began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: record,
	}
	defer func() {
		for _, p := range s.all {
			p.kill()
		}
		if r := recover(); r != nil {
			reason, ok := r.(notRun)
			if !ok {
				panic(r)
			}
			s.note("NOT RUN: %s", reason.reason)
			fmt.Println("not run:", reason.reason)
			code = exitNotRun
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(dir))
		}
	}()
	time.AfterFunc(caseTimeout, func() {
		for _, p := range s.all {
			p.signal(syscall.SIGKILL)
		}
		fmt.Println("not run: the case took too long")
		os.Exit(exitNotRun)
	})
	play(s)
	if len(s.broken) > 0 {
		fmt.Printf("broken, %d times; the first: %s\n", len(s.broken), s.broken[0])
		return exitBroken
	}
	s.note("held")
	fmt.Println("held")
	return exitHeld
}

func (s *site) host(n int) string { return fmt.Sprintf("%s%d", s.prefix, n) }

func address(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

func (s *site) seeds() []string {
	var out []string
	for i := range zones {
		out = append(out, address(s.host(1+i), controlPort))
	}
	return out
}

// writeSettings writes the settings file of a process and returns its path.
func (s *site) writeSettings(name, role, class, serves, host string, zone int, first bool, app, service string) string {
	disk, extra, listen, counted := "", "", "", "false"
	if role == "keeper" {
		data := filepath.Join(s.dir, "data-"+name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			s.fail("%v", err)
		}
		disk, counted = fmt.Sprintf("dataDirectory = %q", data), "true"
	}
	if app != "" {
		extra = fmt.Sprintf("app = %q\nservice = %q", app, service)
	} else {
		listen = fmt.Sprintf("frontend = %q\nready = %q\ncontrolPlane = %q",
			address(host, frontendPort), address(host, readyPort), address(host, controlPort))
	}
	text := strings.NewReplacer("$NAME", name, "$ROLE", role, "$CLASS", class, "$SERVES", serves, "$ADDRESS", host,
		"$ZONE", zones[zone], "$REGION", regions[zone], "$SEEDS", strings.Join(s.seeds(), `","`), "$FIRST", fmt.Sprint(first),
		"$COUNTED", counted, "$DISK", disk, "$APP", extra, "$LISTEN", listen).Replace(settingsText)
	path := filepath.Join(s.dir, name+"-"+role+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.fail("%v", err)
	}
	return path
}

// newProcess returns a process that is not started.
func (s *site) newProcess(name string, env []string, args ...string) *process {
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.fail("%v", err)
	}
	p := &process{name: name, args: args, env: env, log: log}
	s.all = append(s.all, p)
	return p
}

func (s *site) role(name, role, class, serves, host string, zone int, app, service string) *process {
	path := s.writeSettings(name, role, class, serves, host, zone, true, app, service)
	return s.newProcess(name+"-"+role, []string{words["settings"] + "=" + path}, s.program, "platform", role)
}

func (s *site) launch(p *process) {
	if err := p.start(); err != nil {
		s.fail("%v", err)
	}
	s.note("%s starts", p.name)
}

// startRoles starts a keeper and an entry on an instance in each zone.
func (s *site) startRoles() {
	for i := range zones {
		name := "frontend-" + zones[i] + "-1"
		s.keepers = append(s.keepers, s.role(name, "keeper", "frontend", "control_plane", s.host(1+i), i, "", ""))
		s.entries = append(s.entries, s.role(name, "entry", "frontend", "frontend", s.host(1+i), i, "", ""))
	}
	for _, p := range append(append([]*process{}, s.keepers...), s.entries...) {
		s.launch(p)
	}
}

// engineProcess is an engine of the site.
type engineProcess struct {
	*process
	id, address string
	agent       *process
}

// startEngine starts an engine, and the agent beside it if its service has weights.
func (s *site) startEngine(n int, service string, withAgent bool, flags ...string) *engineProcess {
	host := s.host(40 + n)
	e := &engineProcess{id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), address: address(host, enginePort)}
	args := append([]string{
		"target/review-2/standin-2", "engine", "-id", e.id, "-service", service, "-listen", e.address,
		"-zone", zones[n%3], "-control", strings.Join(s.seeds(), ","),
	}, flags...)
	e.process = s.newProcess(fmt.Sprintf("engine-%d", n), nil, args...)
	s.engines = append(s.engines, e)
	s.launch(e.process)
	if withAgent {
		e.agent = s.role(fmt.Sprintf("side-%d", n), "agent", "side", "side", host, n%3, e.address, service)
		s.launch(e.agent)
	}
	return e
}

// call sends a call to an address of the control plane.
func (s *site) call(method, keeper, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+keeper+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// The operator uses a connection for one call.
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// order sends a call of the operator until it is acknowledged.
func (s *site) order(method, path string, body []byte) {
	for n, deadline := 0, time.Now().Add(startTimeout); ; n++ {
		status, data, err := s.call(method, s.seeds()[n%len(zones)], path, body)
		if err == nil && status/100 == 2 {
			s.note("operator: %s %s acknowledged", method, path)
			return
		}
		if err == nil && status/100 == 4 || time.Now().After(deadline) {
			s.fail("%s %s: status %d, %s, %v", method, path, status, data, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// document is a configuration in the platform's format.
func document(version int, routes, services []any) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "bozi300", "apiKeys": []string{clientKey}, "priority": 1, "allowedRegions": []string{},
		}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

const clientKey = "jnbanfqasnmgkcuyj8pj"

// awaitEntries waits until all entries are ready and serve a request.
func (s *site) awaitEntries(probe func(entry string) bool) {
	deadline := time.Now().Add(startTimeout)
	for i := range zones {
		host := s.host(1 + i)
		for {
			response, err := http.Get("http://" + address(host, readyPort) + words["readiness"])
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK && probe(address(host, frontendPort)) {
				break
			}
			if time.Now().After(deadline) {
				s.fail("entry %s is not ready", host)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.note("all entries are ready")
}

func (s *site) entry(n int) string { return address(s.host(1+n%len(zones)), frontendPort) }

// leader returns the number of the keeper that leads, by what the keepers logged.
func (s *site) leader() int {
	at, leader := "", 0
	for i, k := range s.keepers {
		for _, line := range s.lines(k, "Leadership changed") {
			var entry struct {
				Time  string `json:"time"`
				Leads bool   `json:"Leads"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Leads && entry.Time > at {
				at, leader = entry.Time, i
			}
		}
	}
	return leader
}

// lines returns the lines that a process logged with a text.
func (s *site) lines(p *process, text string) []string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		s.fail("%v", err)
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// runsAfter returns the requests that an engine began to run after a time.
func (s *site) runsAfter(e *engineProcess, from time.Time) []string {
	var out []string
	for _, line := range s.lines(e.process, " runs ") {
		at, rest, _ := strings.Cut(line, " ")
		if ms, err := strconv.ParseInt(at, 10, 64); err == nil && ms > from.UnixMilli() {
			out = append(out, fmt.Sprintf("%d ms after it: %s", ms-from.UnixMilli(), rest))
		}
	}
	return out
}

// trickle sends requests at a rate until the returned function is called, which waits
// for the last one.
func (s *site) trickle(perSecond int, send func(n int)) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				wait.Add(1)
				go func() {
					defer wait.Done()
					send(n)
				}()
			}
		}
	}()
	return func() { close(done); wait.Wait() }
}
