package main

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
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

// words holds the platform's names, as its pages give them.
//
//go:embed words.json
var wordsFile []byte

//go:embed settings.tmpl
var settingsTemplate string

var words = readWords()

func readWords() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wordsFile, &out); err != nil {
		panic(err)
	}
	return out
}

// regions of the zones of the small site.
var regions = map[string]string{"bern-a": "mittelland", "stgallen-a": "ostschweiz", "lausanne-a": "romandie"}

var zones = []string{"bern-a", "stgallen-a", "lausanne-a"}

// ports are the same on all machines.
type ports struct{ control, ready, frontend, internal, service int }

// site is the programs of the project and the stand-ins around them.
type site struct {
	root, dir string
	rec       *record
	commands  map[string][]string
	prefix    string
	ports     ports
	machines  []*machine
	seeds     []string
}

// machine is one address with the processes that run there.
type machine struct {
	site                *site
	name, address, zone string
	class               string
	roles               []string
	counted             bool
	// app and service are those of the engine beside the process.
	app, service string

	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func newSite(root string, rec *record) (*site, error) {
	commands, err := readCommands(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, c := range commands {
		if _, err := os.Stat(filepath.Join(root, c[0])); err != nil {
			return nil, fmt.Errorf("the program is not built: %w", err)
		}
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{
		root: root, dir: dir, rec: rec, commands: commands,
		prefix: fmt.Sprintf("127.%d.%d.", 16+pid>>8&63, 1+pid%250),
	}
	s.ports, err = s.freePorts()
	return s, err
}

// readCommands returns the words of run of each role in the deploy file.
func readCommands(path string) (map[string][]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	out, role := map[string][]string{}, ""
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if run, ok := strings.CutPrefix(line, "run = "); ok && role != "" {
			out[role] = strings.Fields(strings.Trim(run, `"`))
		}
	}
	if len(out) == 0 {
		return nil, errors.New("the deploy file names no role")
	}
	return out, lines.Err()
}

// freePorts returns ports that nobody uses on the addresses of the site.
func (s *site) freePorts() (ports, error) {
	for base := 21000 + os.Getpid()%200*40; base < 60000; base += 40 {
		if s.portsFree(base) {
			return ports{control: base, ready: base + 1, frontend: base + 2, service: base + 3, internal: base + 10}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func (s *site) portsFree(base int) bool {
	for host := 1; host <= 30; host++ {
		for p := base; p < base+4; p++ {
			l, err := net.Listen("tcp", s.at(host, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *site) host(n int) string { return s.prefix + strconv.Itoa(n) }

func (s *site) at(host, port int) string { return net.JoinHostPort(s.host(host), strconv.Itoa(port)) }

// addFrontend adds a machine that clients reach, with a disk.
func (s *site) addFrontend(host int, name, zone string, roles ...string) *machine {
	m := &machine{
		site: s, name: name, address: s.host(host), zone: zone, class: "frontend", roles: roles, counted: true,
		processes: map[string]*process{},
	}
	s.machines = append(s.machines, m)
	return m
}

// addSide adds the machine of an engine.
func (s *site) addSide(host int, name, zone, app, service string) *machine {
	m := &machine{
		site: s, name: name, address: s.host(host), zone: zone, class: "side", roles: []string{"agent"},
		app: app, service: service, processes: map[string]*process{},
	}
	s.machines = append(s.machines, m)
	return m
}

func quote(list []string) string {
	out := []string{}
	for _, v := range list {
		out = append(out, strconv.Quote(v))
	}
	return strings.Join(out, ",")
}

// writeSettings writes the settings file of a role as the platform does.
func (m *machine) writeSettings(role string, first bool) (string, error) {
	s := m.site
	serves := map[string]string{"keeper": "control_plane", "entry": "frontend", "agent": "side"}
	listen := map[string]string{
		"keeper": fmt.Sprintf("controlPlane = %q", m.controlPlane()),
		"entry":  fmt.Sprintf("frontend = %q\nready = %q", m.frontend(), m.ready()),
	}
	data := ""
	if role == "keeper" {
		data = m.dataDir()
		if err := os.MkdirAll(data, 0o700); err != nil {
			return "", err
		}
	}
	text := strings.NewReplacer(
		"$NAME", m.name, "$ROLE", role, "$CLASS", m.class, "$SERVES", strconv.Quote(serves[role]), "$ADDRESS", m.address,
		"$ZONE", m.zone, "$REGION", regions[m.zone], "$PORT0", strconv.Itoa(s.ports.internal), "$PORT15", strconv.Itoa(s.ports.internal+15),
		"$SEEDS", quote(s.seeds), "$FIRST", strconv.FormatBool(first), "$COUNTED", strconv.FormatBool(m.counted), "$DATA", data,
		"$APP", m.app, "$SERVICE", m.service, "$LISTEN", listen[role],
	).Replace(settingsTemplate)
	path := filepath.Join(s.dir, m.name+"-"+role+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func (m *machine) dataDir() string { return filepath.Join(m.site.dir, "disk-"+m.name) }

func (m *machine) at(port int) string { return net.JoinHostPort(m.address, strconv.Itoa(port)) }

func (m *machine) controlPlane() string { return m.at(m.site.ports.control) }

func (m *machine) frontend() string { return m.at(m.site.ports.frontend) }

func (m *machine) ready() string { return m.at(m.site.ports.ready) }

// start starts all processes of the machine.
func (m *machine) start(first bool) error {
	for _, role := range m.roles {
		settings, err := m.writeSettings(role, first)
		if err != nil {
			return err
		}
		if err := m.startRole(role, settings); err != nil {
			return err
		}
	}
	m.site.rec.add("%s starts (%s)", m.name, strings.Join(m.roles, ", "))
	return nil
}

func (m *machine) startRole(role, settings string) error {
	command := m.site.commands[role]
	if command == nil {
		return fmt.Errorf("the deploy file has no role %s", role)
	}
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(m.site.root, command[0]), command[1:]...)
	cmd.Dir = m.site.root
	cmd.Env = []string{words["settingsVariable"] + "=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	m.mu.Lock()
	m.processes[role] = p
	m.mu.Unlock()
	return nil
}

// signal sends a signal to all processes of the machine.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		select {
		case <-p.exited:
		default:
			_ = p.cmd.Process.Signal(sig)
		}
	}
}

// await waits until all processes of the machine have exited.
func (m *machine) await(limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for _, p := range m.processes {
		select {
		case <-p.exited:
		case <-timer.C:
			return false
		}
	}
	return true
}

func (m *machine) freeze() {
	m.signal(syscall.SIGSTOP)
	m.site.rec.add("%s freezes", m.name)
}

func (m *machine) thaw() {
	m.signal(syscall.SIGCONT)
	m.site.rec.add("%s wakes", m.name)
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.await(5 * time.Second)
	m.site.rec.add("%s is killed", m.name)
}

// stop sends SIGTERM, and SIGKILL after gracePeriodS.
func (m *machine) stop() {
	m.site.rec.add("%s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	if !m.await(8 * time.Second) {
		m.signal(syscall.SIGKILL)
	}
	m.site.rec.add("%s has stopped", m.name)
}

// loseDisk empties the disk of a machine whose processes don't run.
func (m *machine) loseDisk() error {
	m.site.rec.add("%s loses its disk", m.name)
	return os.RemoveAll(m.dataDir())
}

// isReady reports whether the entry of the machine takes clients.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.ready() + words["readiness"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, m := range s.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		m.await(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
