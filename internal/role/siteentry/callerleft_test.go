package siteentry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/kernel/decisionlog"
)

// lateListener accepts connections whose reads learn of nothing once late is set,
// as in a process that lacks processor time.
type lateListener struct {
	net.Listener
	late atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{c.(*net.TCPConn), &l.late}, nil
}

type lateConn struct {
	*net.TCPConn
	late *atomic.Bool
}

func (c lateConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return lateRaw{raw, c.late}, err
}

type lateRaw struct {
	syscall.RawConn
	late *atomic.Bool
}

func (r lateRaw) Read(f func(uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool { return !r.late.Load() && f(fd) })
}

// TestHoldsRequestOfLeftCallerIsNotSent guards against a request that waits for a
// target and is sent after its caller has closed the connection, because the
// process has not got round to reading that.
func TestHoldsRequestOfLeftCallerIsNotSent(t *testing.T) {
	target, address := startTarget(t, respondWith("ok"))
	te := startEntry(t, address)
	te.plan.Routes[1].Objective = 10 * time.Second
	te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{Active: 1000})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lateListener{Listener: inner}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- te.entry.serveOn(ctx, l) }()
	t.Cleanup(func() {
		l.late.Store(false)
		cancel()
		<-served
	})
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: read\r\nAttempt: a1\r\nKey: secret\r\nContent-Length: 0\r\n\r\n")
	for te.entry.Dispatcher.Summary("s").Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	l.late.Store(true)
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	te.entry.Dispatcher.ReportLoad("t0", dispatch.Load{})
	for te.entry.Dispatcher.Summary("s").Waiting > 0 || te.entry.active.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := len(target.requests()); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}

// TestLeftCallerGetsNoFailure checks that a request which its target breaks off ends
// as one whose caller has left if that is so, though the process has not read it.
func TestLeftCallerGetsNoFailure(t *testing.T) {
	for _, host := range []string{"once", "cut"} {
		t.Run(host, func(t *testing.T) {
			left := make(chan struct{})
			target, address := startTarget(t, func(w io.Writer, r *http.Request) {
				<-left
				truncates(w, r)
			})
			te := startEntry(t, address)
			var logged logBuffer
			te.entry.DecisionLog = decisionlog.New(&logged)
			l := &lateListener{}
			c := send(t, te.listenFor(t, func(inner net.Listener) net.Listener {
				l.Listener = inner
				return l
			}), host)
			defer l.late.Store(false)
			for len(target.requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			l.late.Store(true)
			_ = c.Close()
			time.Sleep(50 * time.Millisecond)
			close(left)
			for te.entry.active.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			te.entry.DecisionLog.Close()
			if line := logged.find("Request was not served"); line != nil {
				t.Errorf("the caller that left got a response: %v", line)
			}
			if logged.find("Caller left") == nil {
				t.Error("no line tells that the caller left")
			}
		})
	}
}
