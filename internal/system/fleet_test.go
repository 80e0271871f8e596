// Package system_test runs the roles and simulated servers as separate processes,
// and kills them, suspends them and partitions the network between them.
package system_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/keepers"
)

// binaries is the directory of the executables that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "egretproxy-test")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "egretproxy", "egretproxy/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a set of processes that listen on loopback addresses.
type fleet struct {
	t         *testing.T
	dir       string
	mu        sync.Mutex
	running   map[string]*exec.Cmd
	args      map[string][]string
	keepers   []string
	addresses map[string]string
	// limited runs the processes with the limits of the script "limited".
	limited bool
}

// conditionTimeout limits how long waitUntil polls.
const conditionTimeout = 60 * time.Second

func newFleet(t *testing.T, keeperCount int) *fleet {
	f := &fleet{
		t: t, dir: t.TempDir(), running: map[string]*exec.Cmd{},
		args: map[string][]string{}, addresses: map[string]string{},
	}
	t.Cleanup(f.stopAll)
	var members []string
	for i := range keeperCount {
		f.keepers = append(f.keepers, f.reserveAddress(fmt.Sprintf("keeper-%d", i)))
		members = append(members, fmt.Sprintf(`{"Name": "keeper-%d", "Address": %q}`, i, f.keepers[i]))
	}
	for i := range keeperCount {
		name := fmt.Sprintf("keeper-%d", i)
		file := f.writeSettings(name, fmt.Sprintf(`"Keeper": {"Listen": %q, "Data": %q, "SnapshotEntries": 200, "Members": [%s]}`,
			f.keepers[i], filepath.Join(f.dir, name), strings.Join(members, ", ")))
		if out, err := exec.Command(binaries+"/egretproxy", "keeper", "init", "-c", file).CombinedOutput(); err != nil {
			t.Fatalf("keeper init: %s", out)
		}
		f.start(name, "egretproxy", "keeper", "-c", file)
	}
	return f
}

// Ports lie below the range of ephemeral ports, so that no outgoing connection
// takes one before its process listens. The process ID selects the range of
// ports, so that concurrent test runs rarely share one.
const (
	firstPort     = 24_000
	portsPerRange = 250
	portRanges    = 32
)

var nextPort atomic.Int64

// reserveAddress reserves a loopback address for a process.
func (f *fleet) reserveAddress(name string) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portRanges*portsPerRange+int(nextPort.Add(1)))
		if !isFree(address) {
			continue
		}
		f.addresses[name] = address
		return address
	}
}

// isFree reports whether a process may listen on an address. No process is forked
// meanwhile: until it executes its program, a child would keep the listener open,
// and the address in use.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

func (f *fleet) writeSettings(name, section string) string {
	return f.writeDomainSettings(name, "d0", section)
}

func (f *fleet) writeDomainSettings(name, domain, section string) string {
	file := filepath.Join(f.dir, name+".json")
	text := fmt.Sprintf(`{"Process": {"Name": %q, "Domain": %q, "Region": "r-%s", "AdminListen": %q}, "Keepers": {"Addresses": [%s]}, %s}`,
		name, domain, domain, f.reserveAddress(name+"-admin"), joinQuoted(f.keepers), section)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

func joinQuoted(list []string) string {
	return `"` + strings.Join(list, `", "`) + `"`
}

func (f *fleet) start(name string, args ...string) {
	f.args[name] = args
	f.restart(name)
}

// restart starts a process with the arguments last passed to start.
func (f *fleet) restart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := f.args[name]
	logFile, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	path := binaries + "/" + args[0]
	cmd := exec.Command(path, args[1:]...)
	if f.limited {
		cmd = exec.Command(binaries+"/limited", append([]string{path}, args[1:]...)...)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	_ = logFile.Close()
	f.running[name] = cmd
}

func (f *fleet) signal(name string, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cmd := f.running[name]; cmd != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// kill sends SIGKILL to a process and waits until it has exited.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	f.waitExit(name)
}

// waitExit waits until a process has exited.
func (f *fleet) waitExit(name string) {
	f.mu.Lock()
	cmd := f.running[name]
	delete(f.running, name)
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

func (f *fleet) stopAll() {
	for name := range f.args {
		f.signal(name, syscall.SIGCONT)
		f.kill(name)
	}
	if f.t.Failed() {
		f.printLogs()
	}
}

func (f *fleet) printLogs() {
	const tail = 1500
	for name := range f.args {
		data, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
		f.t.Logf("%s: %s", name, data[max(0, len(data)-tail):])
	}
}

func (f *fleet) addEngine(name, domain string, flags ...string) {
	address := f.reserveAddress(name)
	f.start(name, append([]string{"standin", "engine", "--listen", address, "--load-time", "50ms"}, flags...)...)
	f.addAgent(name, domain, fmt.Sprintf(`{"ID": %q, "Address": "engine://%s", "Slots": 16, "ColdSlots": 2}`, name, address))
}

func (f *fleet) addService(name, domain string) { f.addServiceWithDelay(name, domain, "5ms") }

func (f *fleet) addSlowService(name, domain string) { f.addServiceWithDelay(name, domain, "700ms") }

func (f *fleet) addServiceWithDelay(name, domain, delay string) {
	address := f.reserveAddress(name)
	f.start(name, "standin", "service", "--listen", address, "--delay", delay)
	f.addAgent(name, domain, fmt.Sprintf(`{"ID": %q, "Address": "service://%s", "Service": "inventory", "Slots": 16, "ColdSlots": 16}`, name, address))
}

func (f *fleet) addAgent(name, domain, target string) {
	agent := "agent-" + name
	file := f.writeDomainSettings(agent, domain, fmt.Sprintf(`"Agent": {"Listen": %q, "Target": %s, "Weights": {"Sources": ["origin://%s"]}}`,
		f.reserveAddress(agent), target, f.addresses["origin"]))
	f.start(agent, "egretproxy", "agent", "-c", file)
}

// addOrigin starts the origin and waits until it accepts connections, since uploads to
// it are not repeated.
func (f *fleet) addOrigin() {
	address := f.reserveAddress("origin")
	f.start("origin", "standin", "depot", "--listen", address)
	f.waitUntil("the origin listens", func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	})
}

// sumMetric returns the sum of the samples on the metrics page of a process
// whose lines contain substring.
func (f *fleet) sumMetric(name, substring string) float64 {
	f.t.Helper()
	resp, err := http.Get("http://" + f.addresses[name+"-admin"] + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	sum := 0.0
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, substring) {
			var value float64
			_, _ = fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &value)
			sum += value
		}
	}
	return sum
}

func (f *fleet) addEntry(name string) {
	keysFile := filepath.Join(f.dir, "keys.json")
	if err := os.WriteFile(keysFile, []byte(`{"Organisations": [{"ID": "huts", "Key": "key-of-huts"}]}`), 0o600); err != nil {
		f.t.Fatal(err)
	}
	file := f.writeSettings(name, fmt.Sprintf(`"Entry": {"Listen": %q, "OrganisationKeys": %q, "DrainDelay": "300ms",
		"Routes": [{"Prefix": "/inventory", "Service": "inventory"}]}`, f.reserveAddress(name), keysFile))
	f.start(name, "egretproxy", "entry", "-c", file)
	f.waitUntil("entry is ready", func() bool {
		resp, err := http.Get("http://" + f.addresses[name] + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// runOperator runs an operator command against the keepers and returns its
// combined output.
func (f *fleet) runOperator(args ...string) (string, error) {
	for _, keeper := range f.keepers {
		args = append(args, "--keeper", keeper)
	}
	out, err := exec.Command(binaries+"/egretproxy", args...).CombinedOutput()
	return string(out), err
}

func (f *fleet) mustRunOperator(args ...string) {
	f.t.Helper()
	if out, err := f.runOperator(args...); err != nil {
		f.t.Fatalf("%v: %v: %s", args, err, out)
	}
}

// createBundle publishes content as a bundle at the origin and approves it.
func (f *fleet) createBundle(name string, content []byte) {
	f.t.Helper()
	dir := filepath.Join(f.dir, "weights-"+name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "weights.bin"), content, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.mustRunOperator("bundle", "create", name, "--model", "guide="+dir+":0", "--publish", "origin://"+f.addresses["origin"],
		"--chunk-bytes", "65536", "--operator", "test")
	f.mustRunOperator("bundle", "approve", name, "--operator", "test")
}

// waitUntil polls done until it returns true. It fails the test after
// conditionTimeout.
func (f *fleet) waitUntil(condition string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for condition: %s", condition)
}

func (f *fleet) status() (api.StatusResponse, error) {
	client := keepers.New(f.keepers, nil, frame.Codec{}, 0)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var status api.StatusResponse
	err := client.CallAny(ctx, api.MethodStatus, nil, &status)
	return status, err
}

// waitServing waits until at least n targets are serving.
func (f *fleet) waitServing(n int) {
	f.t.Helper()
	f.waitUntil(fmt.Sprintf("%d targets are serving", n), func() bool {
		status, err := f.status()
		if err != nil {
			return false
		}
		count := 0
		for _, target := range status.View.Targets {
			if target.Phase == "Serving" {
				count++
			}
		}
		return count >= n
	})
}

// leader returns the name of the Raft leader among the keepers, or "" if it is
// unknown.
func (f *fleet) leader() string {
	status, err := f.status()
	if err != nil {
		return ""
	}
	for _, member := range status.Members {
		if string(member.ID) == status.Leader {
			return member.Name
		}
	}
	return ""
}

// getJSON fetches a page of a simulated server and decodes its JSON into v.
func (f *fleet) getJSON(name, path string, v any) {
	f.t.Helper()
	resp, err := http.Get("http://" + f.addresses[name] + path)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(data, v); err != nil {
		f.t.Fatalf("%s%s: %v", name, path, err)
	}
}
