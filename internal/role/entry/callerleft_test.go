package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"egretproxy/internal/admission/targetpool"
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

// fill takes all places of the entry's targets, and returns a function that gives
// them back.
func (re *runningEntry) fill(t *testing.T) func() {
	t.Helper()
	var grants []*targetpool.Grant
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		g, ref := re.targetPool.Acquire(ctx, targetpool.Request{Organisation: "huts", Cost: 1, Service: "inventory"})
		cancel()
		if ref != nil {
			break
		}
		grants = append(grants, g)
	}
	return func() {
		for _, g := range grants {
			g.Cancelled()
		}
	}
}

// TestHoldsDispatchNeedsCaller guards against a request that waits for a target and
// is sent after its caller has closed the connection, because the process has not
// got round to reading that. Requests that may run once run on purpose, so that a
// repeated request finds the outcome.
func TestHoldsDispatchNeedsCaller(t *testing.T) {
	for method, want := range map[string]int32{http.MethodGet: 0, http.MethodPost: 1} {
		t.Run(method, func(t *testing.T) {
			var got atomic.Int32
			l := &lateListener{Listener: listen(t)}
			agent := startAgent(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/alive" {
					got.Add(1)
				}
				echo(w, r)
			})
			re := startEntryOn(t, l, agent, service)
			t.Cleanup(func() { l.late.Store(false) })
			release := re.fill(t)
			c := re.connect(t)
			c.send(t, method+" /inventory/ropes HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-huts\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			re.waitUntil(t, "the request waits", func() bool { return re.targetPool.Waiting() == 1 })
			l.late.Store(true)
			_ = c.Close()
			time.Sleep(50 * time.Millisecond)
			release()
			re.waitUntil(t, "the request has ended", func() bool { return re.inProgress() == 0 })
			if n := got.Load(); n != want {
				t.Errorf("the agent got %d requests, want %d", n, want)
			}
		})
	}
}
