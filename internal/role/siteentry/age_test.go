package siteentry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egretproxy/internal/kernel/decisionlog"
)

// logBuffer is a buffer for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// find returns the fields of the first line with the message, or nil.
func (l *logBuffer) find(msg string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(l.b.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["msg"] == msg {
			return fields
		}
	}
	return nil
}

// bootClock is a boottime clock that a test moves on, as a suspension does.
type bootClock struct {
	began     time.Time
	suspended atomic.Int64
}

func (c *bootClock) now() time.Duration {
	return time.Since(c.began) + time.Duration(c.suspended.Load())
}

func (c *bootClock) suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// listenFor serves callers of the entry until the test ends.
func (te *testEntry) listenFor(t *testing.T, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- te.entry.serveOn(ctx, wrap(l)) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return l.Addr().String()
}

func unwrapped(l net.Listener) net.Listener { return l }

// send sends a request without a body to a route of the entry at the address.
func send(t *testing.T, address, host string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: "+host+"\r\nAttempt: a1\r\nKey: secret\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestLeftCallerIsLoggedWithAges checks that the line about a caller that left
// while its request was at a target tells when the request arrived, was read and
// was sent, and when the caller's end arrived, with the time of a suspension.
func TestLeftCallerIsLoggedWithAges(t *testing.T) {
	target, address := startTarget(t, func(io.Writer, *http.Request) { time.Sleep(10 * time.Second) })
	te := startEntry(t, address)
	var logged logBuffer
	te.entry.DecisionLog = decisionlog.New(&logged)
	clock := bootClock{began: time.Now()}
	te.entry.bootNow = clock.now
	c := send(t, te.listenFor(t, unwrapped), "once")
	for len(target.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	const suspended, apart = time.Hour, 100 * time.Millisecond
	clock.suspend(suspended)
	time.Sleep(apart)
	_ = c.Close()
	var line map[string]any
	for line == nil {
		time.Sleep(time.Millisecond)
		line = logged.find("Caller left")
	}
	ms := func(name string) time.Duration {
		v, ok := line[name].(float64)
		if !ok {
			t.Errorf("%s is %v", name, line[name])
		}
		return time.Duration(v) * time.Millisecond
	}
	if age, took, sent := ms("AgeMs"), ms("TookMs"), ms("SentMsAgo"); age < suspended || took >= suspended || sent < suspended {
		t.Errorf("age %v, took %v, sent %v ago, suspended %v", age, took, sent, suspended)
	}
	if arrived, ended := ms("ArrivedMsAgo"), ms("EndedMsAgo"); arrived < apart-arrivalResolution || arrived-ended < apart/2 {
		t.Errorf("arrived %v ago, ended %v ago, sent %v apart", arrived, ended, apart)
	}
	ms("Unread")
	ms("Unacked")
}
