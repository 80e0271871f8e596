package system_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"egretproxy/internal/standin/crowd"
	"egretproxy/internal/standin/footprint"
)

// The instances of these tests have little memory and few descriptors.
const (
	crowdMemoryBytes = 96 << 20
	crowdDescriptors = 500
	// crowdMemoryLimit is the soft limit of the Go runtime on such an instance.
	crowdMemoryLimit = "58MiB"
)

const (
	headCallers = 600
	longestHead = 60 << 10
	bodyCallers = 40
	// longestBody is within the default of Entry.MaxBody.
	longestBody = 4 << 20
	largeChunk  = 1 << 20
	// ordinaryCalls are sent one after the other, ordinaryPause apart.
	ordinaryCalls = 5
	ordinaryPause = 200 * time.Millisecond
)

// newCrowdFleet starts a fleet whose processes have the limits of these tests. Its
// entry serves a service.
func newCrowdFleet(t *testing.T) *fleet {
	t.Setenv("GOMEMLIMIT", crowdMemoryLimit)
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec \"$@\"\n", crowdDescriptors)
	if err := os.WriteFile(filepath.Join(binaries, "limited"), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	f := newFleet(t, 1)
	f.limited = true
	f.addOrigin()
	f.addService("inventory-0", "d0")
	f.addEntry("entry-0")
	f.waitServing(1)
	return f
}

// endure opens two crowds in turn at an address of a process, and checks the process
// and that ordinary requests are answered while each of them stays and afterwards.
func (f *fleet) endure(name, address string, callers int, r crowd.Request) {
	f.t.Helper()
	fp := footprint.Watch(f.pid(name), address)
	defer fp.Stop()
	check := func() {
		f.t.Helper()
		for range ordinaryCalls {
			f.waitUntil("an ordinary request is answered", func() bool { return f.post(1) })
			time.Sleep(ordinaryPause)
		}
		f.checkProcess(name)
		f.checkFootprint(name, fp)
	}
	for range 2 {
		c := crowd.Open(address, callers, r)
		check()
		c.Close()
	}
	check()
	f.waitUntil("a request with a long body is answered", func() bool { return f.post(longestBody) })
	f.checkProcess(name)
}

// post reports whether a request with a body is answered with 200.
func (f *fleet) post(bytes int) bool {
	req, _ := http.NewRequest(http.MethodGet, "http://"+f.addresses["entry-0"]+"/inventory/ropes", strings.NewReader(strings.Repeat("a", bytes)))
	req.Header.Set("Authorization", "Bearer key-of-huts")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: conditionTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) pid(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name].Process.Pid
}

// checkFootprint checks that a process has stayed within its memory, in which bytes
// count that arrived and were not read.
func (f *fleet) checkFootprint(name string, fp *footprint.Footprint) {
	f.t.Helper()
	resident, unread, err := fp.Peak()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("%s: largest footprint %d KiB, of which %d KiB unread", name, (resident+unread)>>10, unread>>10)
	if resident+unread > crowdMemoryBytes {
		f.t.Errorf("%s has taken %d KiB with %d KiB unread, want at most %d", name, (resident+unread)>>10, unread>>10, crowdMemoryBytes>>10)
	}
}

// checkProcess checks that a process has not ended and stays within its limits.
func (f *fleet) checkProcess(name string) {
	f.t.Helper()
	pid := f.pid(name)
	peak, err := crowd.PeakBytes(pid)
	if err != nil {
		f.t.Fatalf("%s has ended: %v", name, err)
	}
	open, err := crowd.Descriptors(pid)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("%s: peak memory %d KiB, %d descriptors", name, peak>>10, open)
	if peak > crowdMemoryBytes {
		f.t.Errorf("%s has taken %d KiB of memory, want at most %d", name, peak>>10, crowdMemoryBytes>>10)
	}
	if open > crowdDescriptors {
		f.t.Errorf("%s has %d descriptors open, want at most %d", name, open, crowdDescriptors)
	}
}

const (
	entryHead = "GET /inventory/ropes HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-of-huts\r\n"
	agentHead = "GET /dispatch/inventory/ropes HTTP/1.1\r\nHost: agent\r\n"
)

func TestCrowdHeadsAtServiceEntry(t *testing.T) {
	f := newCrowdFleet(t)
	f.endure("entry-0", f.addresses["entry-0"], headCallers, crowd.Request{Head: entryHead, HeadBytes: longestHead})
}

func TestCrowdBodiesAtServiceEntry(t *testing.T) {
	f := newCrowdFleet(t)
	f.endure("entry-0", f.addresses["entry-0"], bodyCallers, crowd.Request{Head: entryHead, BodyBytes: longestBody})
}

func TestCrowdChunksAtServiceEntry(t *testing.T) {
	f := newCrowdFleet(t)
	f.endure("entry-0", f.addresses["entry-0"], bodyCallers, crowd.Request{Head: entryHead, BodyBytes: longestBody, ChunkBytes: largeChunk})
}

func TestCrowdBodiesAtAgent(t *testing.T) {
	f := newCrowdFleet(t)
	f.endure("agent-inventory-0", f.addresses["agent-inventory-0"], bodyCallers, crowd.Request{Head: agentHead, BodyBytes: longestBody})
}

func TestCrowdHeadsAtAdminPort(t *testing.T) {
	f := newCrowdFleet(t)
	f.endure("entry-0", f.addresses["entry-0-admin"], headCallers, crowd.Request{Head: "GET /metrics HTTP/1.1\r\nHost: entry\r\n", HeadBytes: longestHead})
}
