package system_test

import (
	"net/http"
	"testing"
	"time"

	"egretproxy/internal/standin/crowdkind"
	"egretproxy/internal/standin/footprint"
)

// endureKinds opens crowds in turn at an address of a process, and checks the process
// and that ordinary requests are answered while each of them stays and at the end.
func (f *fleet) endureKinds(name, address string, kinds []crowdkind.Kind, ordinary func() bool) {
	f.t.Helper()
	check := func() {
		f.waitUntil("an ordinary request is answered", ordinary)
		f.waitUntil("another ordinary request is answered", ordinary)
		f.checkProcess(name)
	}
	crowdkind.Endure(address, kinds, func(k crowdkind.Kind) func() {
		f.t.Logf("crowd: %s", k.Name)
		fp := footprint.Watch(f.pid(name), address)
		return func() {
			fp.Stop()
			f.checkFootprint(name, fp)
		}
	}, check)
}

// answers reports whether a call of an address is answered.
func (f *fleet) answers(address, path string) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}

func (f *fleet) postShort() bool { return f.post(1) }

func TestCrowdKindsAtServiceEntry(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("entry-0", f.addresses["entry-0"], crowdkind.Bodies(entryHead), f.postShort)
	f.waitUntil("a request with a long body is answered", func() bool { return f.post(longestBody) })
}

func TestCrowdWholeAtServiceEntry(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("entry-0", f.addresses["entry-0"], crowdkind.WholeBodies(entryHead), f.postShort)
}

func TestCrowdWholeAtAgent(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("agent-inventory-0", f.addresses["agent-inventory-0"], crowdkind.WholeBodies(agentHead), f.postShort)
}

// TestCrowdKindsAtServiceEntryWithoutKey has requests that are refused before their
// body is read.
func TestCrowdKindsAtServiceEntryWithoutKey(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("entry-0", f.addresses["entry-0"], crowdkind.Bodies("POST /inventory/ropes HTTP/1.1\r\nHost: entry\r\n"), f.postShort)
}

func TestCrowdKindsAtAdminPort(t *testing.T) {
	f := newCrowdFleet(t)
	address := f.addresses["entry-0-admin"]
	f.endureKinds("entry-0", address, crowdkind.Bodies("GET /metrics HTTP/1.1\r\nHost: entry\r\n"),
		func() bool { return f.postShort() && f.answers(address, "/metrics") })
}

func TestCrowdKindsAtAgent(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("agent-inventory-0", f.addresses["agent-inventory-0"], crowdkind.Bodies(agentHead), f.postShort)
	f.waitUntil("a request with a long body is answered", func() bool { return f.post(longestBody) })
}

// TestCrowdKindsAtAgentShare has bodies for the part of an agent that serves weights.
func TestCrowdKindsAtAgentShare(t *testing.T) {
	f := newCrowdFleet(t)
	address := f.addresses["agent-inventory-0"]
	f.endureKinds("agent-inventory-0", address, crowdkind.Bodies("GET /alive HTTP/1.1\r\nHost: agent\r\n"),
		func() bool { return f.postShort() && f.answers(address, "/alive") })
}
