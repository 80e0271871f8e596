package sitekeeper

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/wakeup"
)

const (
	// markInterval is the longest time between two marks while connections are accepted.
	markInterval = 500 * time.Millisecond
	// markTimeout is how long a mark may wait to be accepted before another one is placed.
	markTimeout = time.Second
	// freshTimeout bounds the wait of a call for a mark that is placed after it.
	freshTimeout = 100 * time.Millisecond
)

// markLog dates the connections of a listener by their order in its queue, not by when
// they are accepted. A mark is a connection of this process to its own listener. The
// connections that are accepted after it were opened after it, however long they waited.
// It is safe for concurrent use. The zero value gives the earliest date.
type markLog struct {
	mu sync.Mutex
	// last is the date noted before the last mark was opened that has been accepted.
	last orderDate
	// placing is set while marks are placed.
	placing bool
	// peers are those of the connections accepted since the mark on its way was begun. It
	// is nil without one.
	peers map[string]bool
	// accepted is signalled at each connection that is accepted while a mark is on its
	// way, marked at each mark that is, and wanted when another one is needed.
	accepted, marked, wanted wakeup.Signal
}

// accept returns a date that a connection can't precede. It must be called for each
// connection in the order in which they are accepted.
func (m *markLog) accept(peer net.Addr) orderDate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers != nil {
		m.peers[peer.String()] = true
		m.accepted.Send()
	}
	return m.last
}

// place opens a mark at the listener's address and waits until it is accepted. date was
// noted before.
func (m *markLog) place(ctx context.Context, address string, date orderDate) error {
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	m.begin()
	defer m.end()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "open a mark")
	}
	defer func() { _ = conn.Close() }()
	for {
		done, accepted := m.arrived(conn.LocalAddr(), date)
		if done {
			return nil
		}
		select {
		case <-accepted:
		case <-ctx.Done():
			return errors.New("mark was not accepted in time")
		}
	}
}

func (m *markLog) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = map[string]bool{}
}

func (m *markLog) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = nil
}

// arrived reports whether the mark on its way has been accepted, whose date it then takes,
// and otherwise returns a channel that is closed when the next connection is accepted. No
// other connection has the mark's local address as long as the mark is open.
func (m *markLog) arrived(local net.Addr, date orderDate) (done bool, accepted <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.peers[local.String()] {
		return false, m.accepted.Next()
	}
	m.last = date
	m.marked.Send()
	return true, nil
}

// freshen waits until a mark is accepted that was placed after a time of the boottime
// clock, for freshTimeout at most, so that connections that are opened from now on are
// dated after it. It does not wait while no marks are placed.
func (m *markLog) freshen(ctx context.Context, after time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	for {
		fresh, marked := m.want(after)
		if fresh {
			return
		}
		select {
		case <-marked:
		case <-ctx.Done():
			return
		}
	}
}

// want reports whether the last mark was placed after a time, and otherwise asks for
// another one and returns a channel that is closed when it is accepted.
func (m *markLog) want(after time.Duration) (fresh bool, marked <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.placing || m.last.at >= after {
		return true, nil
	}
	m.wanted.Send()
	return false, m.marked.Next()
}

// nextWanted returns a channel that is closed when another mark is needed.
func (m *markLog) nextWanted() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wanted.Next()
}

func (m *markLog) setPlacing(placing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placing = placing
}

// DateConnections dates the connections of a server of orders that listens at an address,
// until the context ends. They have the earliest date before the first mark.
func (k *Keeper) DateConnections(ctx context.Context, address string) {
	k.marks.setPlacing(true)
	defer k.marks.setPlacing(false)
	ticker := time.NewTicker(markInterval)
	defer ticker.Stop()
	stale := false
	for {
		ordered, wanted := k.Machine.Ordered(), k.marks.nextWanted()
		err := k.marks.place(ctx, address, k.now())
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != stale {
			stale = err != nil
			klog.InfoS("Dates of new connections changed", "Stale", stale, "Error", errorText(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-ordered:
		case <-wanted:
		}
	}
}
