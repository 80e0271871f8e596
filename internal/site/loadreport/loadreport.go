// Package loadreport carries the load of engines from the process beside each of
// them to the entries, in datagrams. A lost one is replaced by the next.
package loadreport

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
)

const (
	// SubscribeInterval is the time between an entry's subscriptions.
	SubscribeInterval = time.Second
	// subscriptionTTL is how long one counts. It bears the loss of two.
	subscriptionTTL = 3200 * time.Millisecond
	// maxDatagram is above the largest message.
	maxDatagram = 512
)

// Subscription asks for the load of the target beside the receiver.
type Subscription struct {
	Target id.Target `cbor:"1,keyasint"`
	// Stamp is the sender's time in milliseconds. It comes back in Load.
	Stamp int64 `cbor:"2,keyasint"`
}

// Load is the newest report of a target.
type Load struct {
	Target  id.Target `cbor:"1,keyasint"`
	Active  int       `cbor:"2,keyasint"`
	Queued  int       `cbor:"3,keyasint"`
	Weights int64     `cbor:"4,keyasint"`
	// Closed tells that the target takes nothing new for now.
	Closed bool `cbor:"5,keyasint"`
	// Stamp is that of the newest subscription, StampAgeMs the time since it
	// arrived. Both give the receiver the delay of the way and back.
	Stamp      int64 `cbor:"6,keyasint"`
	StampAgeMs int64 `cbor:"7,keyasint"`
	// LinkDelayMs is how long data waits on the link of the target's instance, as
	// its process sees it.
	LinkDelayMs int64 `cbor:"8,keyasint,omitempty"`
}

// Sender sends loads to all that subscribed. Take NewSender.
type Sender struct {
	conn *net.UDPConn

	mu sync.Mutex
	// subscribers is the time of each entry's newest subscription, with the
	// name by which it knows the target.
	subscribers map[netip.AddrPort]subscriber
}

type subscriber struct {
	target id.Target
	at     time.Time
	stamp  int64
}

// NewSender listens for subscriptions on the address.
func NewSender(address string) (*Sender, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Sender{conn: conn, subscribers: map[netip.AddrPort]subscriber{}}, nil
}

// Run takes subscriptions until the context ends. onNew is called for each
// new subscriber.
func (s *Sender) Run(ctx context.Context, onNew func()) {
	receive(ctx, s.conn, func(from netip.AddrPort, data []byte) {
		var in Subscription
		if cbor.Unmarshal(data, &in) != nil {
			return
		}
		s.mu.Lock()
		_, known := s.subscribers[from]
		s.subscribers[from] = subscriber{target: in.Target, at: time.Now(), stamp: in.Stamp}
		s.mu.Unlock()
		if !known {
			onNew()
		}
	})
}

// Send sends the load to all subscribers.
func (s *Sender) Send(l Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for to, sub := range s.subscribers {
		if time.Since(sub.at) > subscriptionTTL {
			delete(s.subscribers, to)
			continue
		}
		l.Target, l.Stamp, l.StampAgeMs = sub.target, sub.stamp, time.Since(sub.at).Milliseconds()
		write(s.conn, to, l)
	}
}

// Subscribed reports whether anyone listens.
func (s *Sender) Subscribed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.subscribers) > 0
}

// Receiver subscribes to targets. Take NewReceiver.
type Receiver struct {
	conn *net.UDPConn
	// began is the zero of the stamps.
	began time.Time
}

// NewReceiver listens for loads on the address.
func NewReceiver(address string) (*Receiver, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Receiver{conn: conn, began: time.Now()}, nil
}

// Run calls onLoad for each load until the context ends, with the delay of
// the way to the target's process and back.
func (r *Receiver) Run(ctx context.Context, onLoad func(Load, time.Duration)) {
	receive(ctx, r.conn, func(_ netip.AddrPort, data []byte) {
		var l Load
		if cbor.Unmarshal(data, &l) == nil && l.Active >= 0 && l.Queued >= 0 {
			delay := time.Since(r.began) - time.Duration(l.Stamp+l.StampAgeMs)*time.Millisecond
			onLoad(l, max(delay, time.Duration(l.LinkDelayMs)*time.Millisecond))
		}
	})
}

// Subscribe asks the process at the address for the load of a target.
func (r *Receiver) Subscribe(address string, k id.Target) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		klog.V(1).InfoS("Address can't be read", "Target", k, "Address", address, "Error", err.Error())
		return
	}
	write(r.conn, to, Subscription{Target: k, Stamp: time.Since(r.began).Milliseconds()})
}

func listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", a)
}

func receive(ctx context.Context, conn *net.UDPConn, take func(netip.AddrPort, []byte)) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.V(1).InfoS("Datagram could not be read", "Error", err.Error())
			time.Sleep(time.Millisecond)
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

func write(conn *net.UDPConn, to netip.AddrPort, v any) {
	data, err := cbor.Marshal(v)
	if err != nil {
		klog.ErrorS(err, "Datagram can't be encoded")
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		klog.V(1).InfoS("Datagram was not sent", "To", to.String(), "Error", err.Error())
	}
}
