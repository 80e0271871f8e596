package intake

import (
	"net"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/socket"
)

// Use is what a connection is used for.
type Use int

const (
	// Serving means that a whole request has arrived on the connection and has no
	// whole response yet. Such a connection is never closed for another one, unless
	// its caller doesn't read.
	Serving Use = iota
	// Idle means that the connection has its last response.
	Idle
	// Expired means that its caller may not use the connection any more.
	Expired
	// Receiving means that the next request, or the first, is not there as a whole.
	Receiving
	// Unread means that a part of the response waits for the caller to read it.
	Unread
)

// Conn is an open connection. Its identity is that of the interface value.
type Conn interface {
	// Use returns the use of the connection and since when it lasts.
	Use() (Use, time.Time)
	// Drop closes the connection.
	Drop()
}

// Listen applies the limits to what waits at a listener in the system.
func (in *Intake) Listen(l net.Listener) {
	raw := socket.Raw(l)
	if raw == nil {
		return
	}
	if in.BufferBytes > 0 {
		if err := socket.SetReceiveBuffer(raw, in.BufferBytes); err != nil {
			klog.ErrorS(err, "Receive buffers can't be limited", "Listener", l.Addr().String())
		}
	}
	if in.Backlog > 0 {
		if err := socket.SetBacklog(raw, in.Backlog); err != nil {
			klog.ErrorS(err, "Backlog can't be limited", "Listener", l.Addr().String())
		}
	}
}

// Open records a connection. If that exceeds the limit, it closes the one that is
// the least use, and reports false if that is the new one.
func (in *Intake) Open(c Conn) bool {
	in.mu.Lock()
	if in.conns == nil {
		in.conns = map[Conn]struct{}{}
	}
	var others []Conn
	if in.Conns > 0 && len(in.conns) >= in.Conns {
		others = make([]Conn, 0, len(in.conns))
		for other := range in.conns {
			others = append(others, other)
		}
		in.refused(reasonConns)
	}
	in.mu.Unlock()
	if others != nil {
		victim := leastUse(others)
		if victim == nil {
			return false
		}
		victim.Drop()
		in.Closed(victim)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.conns[c] = struct{}{}
	return true
}

// Closed records the end of a connection.
func (in *Intake) Closed(c Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.conns, c)
	delete(in.wide, c)
}

// longBytes is the length of a request beyond which its connection gets a longer receive
// buffer, if there is room. Nearly all are shorter.
const longBytes = 64 << 10

// Grow lengthens the receive buffer of a connection whose request has grown from a number
// of bytes to another one, if that makes it a long one and there is room. Without a longer
// buffer the request only takes longer.
func (in *Intake) Grow(c Conn, nc net.Conn, from, to int64) {
	if from > longBytes || to <= longBytes {
		return
	}
	raw := socket.Raw(nc)
	if raw == nil || !in.Widen(c) {
		return
	}
	if err := socket.RaiseReceiveBuffer(raw, WideBufferBytes); err != nil {
		klog.V(1).InfoS("Receive buffer can't be lengthened", "Error", err.Error())
	}
}

// WideBufferBytes is the receive buffer of a connection with a long request, so that one
// from afar arrives at a good rate.
const WideBufferBytes = 256 << 10

// Widen reports whether an open connection may have WideBufferBytes from now on. They
// count until it is closed, as a receive buffer can't be shortened safely.
func (in *Intake) Widen(c Conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, open := in.conns[c]; !open || in.BufferBytes >= WideBufferBytes || len(in.wide) >= in.WideBuffers {
		return false
	}
	if in.wide == nil {
		in.wide = map[Conn]struct{}{}
	}
	in.wide[c] = struct{}{}
	return true
}

// leastUse returns the connection to be closed for a new one, or nil if all are in
// use. A request that has been on its way for a while comes first, then what has
// expired, then a response that nobody has read for a while, then a younger request,
// then an idle connection; of equals the oldest.
func leastUse(conns []Conn) Conn {
	var out Conn
	var least int
	var oldest time.Time
	now := time.Now()
	for _, c := range conns {
		use, since := c.Use()
		stalled := now.Sub(since) >= stallTime
		rank := 0
		switch {
		case use == Serving, use == Unread && !stalled:
			continue
		case use == Receiving && stalled:
			rank = 4
		case use == Expired:
			rank = 3
		case use == Unread:
			rank = 2
		case use == Receiving:
			rank = 1
		}
		if out == nil || rank > least || rank == least && since.Before(oldest) {
			out, least, oldest = c, rank, since
		}
	}
	return out
}
