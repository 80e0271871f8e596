package system_test

import (
	"net/http"
	"testing"
	"time"

	"egretproxy/internal/standin/crowd"
	"egretproxy/internal/standin/footprint"
)

const (
	mib = 1 << 20
	// manyCallers are almost as many connections as a process has descriptors for.
	manyCallers = 480
	fewCallers  = 200
	// endlessCallers send bodies of endlessBody each.
	endlessCallers = 100
	endlessBody    = 64 * mib
)

// crowdKind is a number of callers that all send the same.
type crowdKind struct {
	name    string
	callers int
	r       crowd.Request
}

// bodyKinds are crowds that send bodies to an HTTP listener: whole, piece by piece
// and in chunks, most of which stop just short of their end, and far over any limit.
func bodyKinds(head string) []crowdKind {
	return []crowdKind{
		{"whole", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody}},
		{"in pieces", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody, Piecewise: true}},
		{"short", manyCallers, crowd.Request{Head: head, BodyBytes: longestHead}},
		{"large chunks", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody, ChunkBytes: mib}},
		{"small chunks", manyCallers, crowd.Request{Head: head, BodyBytes: mib, ChunkBytes: 1}},
		{"over the limit announced", endlessCallers, crowd.Request{Head: head, BodyBytes: endlessBody}},
		{"over the limit in chunks", fewCallers, crowd.Request{Head: head, BodyBytes: 4 * longestBody, ChunkBytes: mib}},
	}
}

// wholeKinds are crowds that send requests of legal size, all of them whole, which
// targets run.
func wholeKinds(head string) []crowdKind {
	return []crowdKind{
		{"all whole", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody, Whole: true}},
		{"all whole, 1 MiB", manyCallers, crowd.Request{Head: head, BodyBytes: mib, Whole: true}},
		{"all whole, short", manyCallers, crowd.Request{Head: head, BodyBytes: longestHead, Whole: true}},
	}
}

// endureKinds opens crowds in turn at an address of a process, and checks the process
// and that ordinary requests are answered while each of them stays and at the end.
func (f *fleet) endureKinds(name, address string, kinds []crowdKind, ordinary func() bool) {
	f.t.Helper()
	check := func() {
		f.waitUntil("an ordinary request is answered", ordinary)
		f.waitUntil("another ordinary request is answered", ordinary)
		f.checkProcess(name)
	}
	for _, k := range kinds {
		f.t.Logf("crowd: %s", k.name)
		fp := footprint.Watch(f.pid(name), address)
		c := crowd.Open(address, k.callers, k.r)
		check()
		c.Close()
		check()
		fp.Stop()
		f.checkFootprint(name, fp)
	}
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
	f.endureKinds("entry-0", f.addresses["entry-0"], bodyKinds(entryHead), f.postShort)
	f.waitUntil("a request with a long body is answered", func() bool { return f.post(longestBody) })
}

func TestCrowdWholeAtServiceEntry(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("entry-0", f.addresses["entry-0"], wholeKinds(entryHead), f.postShort)
}

func TestCrowdWholeAtAgent(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("agent-inventory-0", f.addresses["agent-inventory-0"], wholeKinds(agentHead), f.postShort)
}

// TestCrowdKindsAtServiceEntryWithoutKey has requests that are refused before their
// body is read.
func TestCrowdKindsAtServiceEntryWithoutKey(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("entry-0", f.addresses["entry-0"], bodyKinds("POST /inventory/ropes HTTP/1.1\r\nHost: entry\r\n"), f.postShort)
}

func TestCrowdKindsAtAdminPort(t *testing.T) {
	f := newCrowdFleet(t)
	address := f.addresses["entry-0-admin"]
	f.endureKinds("entry-0", address, bodyKinds("GET /metrics HTTP/1.1\r\nHost: entry\r\n"),
		func() bool { return f.postShort() && f.answers(address, "/metrics") })
}

func TestCrowdKindsAtAgent(t *testing.T) {
	f := newCrowdFleet(t)
	f.endureKinds("agent-inventory-0", f.addresses["agent-inventory-0"], bodyKinds(agentHead), f.postShort)
	f.waitUntil("a request with a long body is answered", func() bool { return f.post(longestBody) })
}

// TestCrowdKindsAtAgentShare has bodies for the part of an agent that serves weights.
func TestCrowdKindsAtAgentShare(t *testing.T) {
	f := newCrowdFleet(t)
	address := f.addresses["agent-inventory-0"]
	f.endureKinds("agent-inventory-0", address, bodyKinds("GET /alive HTTP/1.1\r\nHost: agent\r\n"),
		func() bool { return f.postShort() && f.answers(address, "/alive") })
}
