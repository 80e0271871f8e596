// Package loadreport sends the load of engines, and the parts of their capacity
// that entries may use, from the agent beside each of them to entries, in UDP
// datagrams. Lost datagrams aren't sent again; the next report replaces them.
package loadreport

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/allotment"
)

const (
	// SubscribeInterval is the time between an entry's subscriptions.
	SubscribeInterval = time.Second
	// subscriptionTTL is how long a subscription is valid. It tolerates the
	// loss of two.
	subscriptionTTL = 3200 * time.Millisecond
	// statusInterval is the least time between two reports to an entry that was
	// allotted no part of the capacity.
	statusInterval = 900 * time.Millisecond
	// sharerInterval is the same for an entry that has a part but got no place.
	sharerInterval = 200 * time.Millisecond
	// defaultSharers is the number of entries that share a target until it is
	// set.
	defaultSharers = 12
	// maxDatagram is the receive buffer's size in bytes, larger than any
	// message.
	maxDatagram = 512
)

// Subscription requests the load of the target beside the receiver.
type Subscription struct {
	Target id.Target `cbor:"1,keyasint"`
	// Stamp is the sender's time in milliseconds. It is returned in Load.
	Stamp int64 `cbor:"2,keyasint"`
	// Demand, Home and Held are those of allotment.Claim.
	Demand float32 `cbor:"3,keyasint,omitempty"`
	Home   bool    `cbor:"4,keyasint,omitempty"`
	Held   float32 `cbor:"5,keyasint,omitempty"`
}

// maxDemand is more requests per second than an entry ever gets.
const maxDemand = 1e6

// valid reports whether the numbers are in their ranges, which NaN is not.
func (s *Subscription) valid() bool {
	return s.Demand >= 0 && s.Demand <= maxDemand && s.Held >= 0 && s.Held <= 1
}

// Load is the newest report of a target.
type Load struct {
	Target  id.Target `cbor:"1,keyasint"`
	Active  int       `cbor:"2,keyasint"`
	Queued  int       `cbor:"3,keyasint"`
	Weights int64     `cbor:"4,keyasint"`
	// Closed means that the target currently accepts no new requests.
	Closed bool `cbor:"5,keyasint"`
	// Stamp is copied from the newest subscription, StampAgeMs is the time
	// since it arrived. The receiver computes the round-trip time from both.
	Stamp      int64 `cbor:"6,keyasint"`
	StampAgeMs int64 `cbor:"7,keyasint"`
	// LinkDelayMs is how long data is queued on the link of the target's
	// instance, as measured by the agent.
	LinkDelayMs int64 `cbor:"8,keyasint,omitempty"`
	// Part and Sharers are the receiver's allotment.Share.
	Part    float32 `cbor:"9,keyasint,omitempty"`
	Sharers int     `cbor:"10,keyasint,omitempty"`
	// Places is the number of requests that the receiver may start within
	// PlacesMs milliseconds.
	Places   int   `cbor:"13,keyasint,omitempty"`
	PlacesMs int64 `cbor:"14,keyasint,omitempty"`
	// Born and Aborts are those of incarnation.Report.
	Born   int64 `cbor:"16,keyasint,omitempty"`
	Aborts bool  `cbor:"17,keyasint,omitempty"`
	// LoadsInMs is the time in milliseconds until the target takes no more requests to
	// load a version of weights, 0 if it has none to load.
	LoadsInMs int64 `cbor:"18,keyasint,omitempty"`
	// Epoch identifies the sending process. Sequence orders its reports from 1 on,
	// since datagrams may overtake each other. Agents of earlier versions send
	// neither.
	Epoch    uint32 `cbor:"11,keyasint"`
	Sequence uint64 `cbor:"12,keyasint"`
}

// valid reports whether the numbers are in their ranges, which NaN is not.
func (l *Load) valid() bool {
	return l.LoadsInMs >= 0 && l.LoadsInMs <= maxLoadsInMs && l.Active >= 0 && l.Queued >= 0 && l.Part >= 0 && l.Part <= 1 && l.Sharers >= 0 &&
		l.Places >= 0 && l.Places <= maxPlaces && l.PlacesMs >= 0 && l.PlacesMs <= maxPlacesMs
}

const (
	// maxPlaces and maxPlacesMs are more than any target deals.
	maxPlaces   = 1 << 20
	maxPlacesMs = 60_000
	// maxLoadsInMs is more than any rollout takes.
	maxLoadsInMs = 3_600_000
)

// Sender sends loads to all subscribers.
type Sender struct {
	conn *net.UDPConn
	// epoch is a random number.
	epoch uint32

	mu       sync.Mutex
	sequence uint64
	// shares divides the target's capacity among the subscribers.
	shares allotment.Allotter
	// subscribers holds the newest subscription of each entry, including the
	// name by which the entry knows the target.
	subscribers map[netip.AddrPort]*subscriber
}

type subscriber struct {
	target id.Target
	at     time.Time
	stamp  int64
	// sentAt is when the newest report was sent, closed and weights are what it
	// said.
	sentAt  time.Time
	closed  bool
	weights int64
}

// Places are the requests that a target can start now.
type Places struct {
	Free int
	// Valid is how long an entry may use a place that it got.
	Valid time.Duration
}

// NewSender listens for subscriptions on the address.
func NewSender(address string) (*Sender, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Sender{
		conn: conn, epoch: rand.Uint32(), subscribers: map[netip.AddrPort]*subscriber{},
		shares: allotment.Allotter{Target: address, MaxSharers: defaultSharers},
	}, nil
}

// SetSharers sets the greatest number of entries that share the target.
func (s *Sender) SetSharers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.MaxSharers = n
}

// Run receives subscriptions until the context ends. It calls onNew for each
// new subscriber.
func (s *Sender) Run(ctx context.Context, onNew func()) {
	receive(ctx, s.conn, func(from netip.AddrPort, data []byte) {
		var in Subscription
		if cbor.Unmarshal(data, &in) != nil || !in.valid() {
			return
		}
		s.mu.Lock()
		sub, known := s.subscribers[from]
		if !known {
			sub = &subscriber{}
			s.subscribers[from] = sub
		}
		sub.target, sub.at, sub.stamp = in.Target, time.Now(), in.Stamp
		s.shares.Claim(sub.at, from, allotment.Claim{Demand: float64(in.Demand), Home: in.Home, Held: float64(in.Held)})
		s.mu.Unlock()
		if !known {
			onNew()
		}
	})
}

// Send sends the load, and divides the target's free places among the
// subscribers. Those that get none learn of the load less often, unless the
// target closes, opens or changes its weights. Each call deals all places again;
// those of the call before are valid for places.Valid.
func (s *Sender) Send(l Load, places Places) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l.Epoch = s.epoch
	allotted := s.shares.Allot(now)
	var dealt map[netip.AddrPort]int
	if allotted {
		dealt = s.shares.Deal(places.Free)
	}
	for to, sub := range s.subscribers {
		if now.Sub(sub.at) > subscriptionTTL {
			delete(s.subscribers, to)
			continue
		}
		share := s.shares.Of(to)
		if allotted && dealt[to] == 0 && !sub.due(now, l, share) {
			continue
		}
		s.sequence++
		l.Target, l.Stamp, l.StampAgeMs = sub.target, sub.stamp, now.Sub(sub.at).Milliseconds()
		l.Part, l.Sharers, l.Sequence = float32(share.Part), share.Sharers, s.sequence
		l.Places, l.PlacesMs = dealt[to], places.Valid.Milliseconds()
		sub.sentAt, sub.closed, sub.weights = now, l.Closed, l.Weights
		write(s.conn, to, l)
	}
}

// due reports whether a subscriber that gets no place must learn of the load.
func (s *subscriber) due(now time.Time, l Load, share allotment.Share) bool {
	age := now.Sub(s.sentAt)
	if l.Aborts {
		// It concerns the requests that run, of all entries.
		return true
	}
	if share.Part == 0 {
		return age >= statusInterval
	}
	return age >= sharerInterval || l.Closed != s.closed || l.Weights != s.weights
}

// Subscribed reports whether there are subscribers.
func (s *Sender) Subscribed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.subscribers) > 0
}

// Receiver subscribes to targets and receives their loads.
type Receiver struct {
	conn *net.UDPConn
	// began is the reference time of the stamps.
	began time.Time
	// newest is the newest report of each agent. It is used by Run only.
	newest map[netip.AddrPort]position
}

// position is that of a report among those of an agent.
type position struct {
	epoch    uint32
	sequence uint64
}

// NewReceiver listens for loads on the address.
func NewReceiver(address string) (*Receiver, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Receiver{conn: conn, began: time.Now(), newest: map[netip.AddrPort]position{}}, nil
}

// Arrival tells when a load arrived.
type Arrival struct {
	// Delay is the larger of the round-trip time to the agent and the reported
	// link delay.
	Delay time.Duration
	// ShareUntil is until when the load's share may be used.
	ShareUntil time.Time
}

// Run calls onLoad for each load until the context ends.
func (r *Receiver) Run(ctx context.Context, onLoad func(Load, Arrival)) {
	receive(ctx, r.conn, func(from netip.AddrPort, data []byte) {
		var l Load
		if cbor.Unmarshal(data, &l) != nil || !l.valid() {
			return
		}
		last := r.newest[from]
		if l.Sequence > 0 && last.epoch == l.Epoch && l.Sequence <= last.sequence {
			return
		}
		r.newest[from] = position{l.Epoch, l.Sequence}
		delay := time.Since(r.began) - time.Duration(l.Stamp+l.StampAgeMs)*time.Millisecond
		onLoad(l, Arrival{
			Delay:      max(delay, time.Duration(l.LinkDelayMs)*time.Millisecond),
			ShareUntil: r.began.Add(time.Duration(l.Stamp)*time.Millisecond + allotment.Lifetime),
		})
	})
}

// Subscribe asks the agent at the address for the load of a target, and for a
// part of its capacity.
func (r *Receiver) Subscribe(address string, k id.Target, c allotment.Claim) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		klog.V(1).InfoS("Invalid address of target", "Target", k, "Address", address, "Error", err.Error())
		return
	}
	write(r.conn, to, Subscription{
		Target: k, Stamp: time.Since(r.began).Milliseconds(), Demand: float32(c.Demand), Home: c.Home, Held: float32(c.Held),
	})
}

func listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", a)
}

func receive(ctx context.Context, conn *net.UDPConn, handle func(netip.AddrPort, []byte)) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.V(1).InfoS("Failed to read datagram", "Error", err.Error())
			time.Sleep(time.Millisecond)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

func write(conn *net.UDPConn, to netip.AddrPort, v any) {
	data, err := cbor.Marshal(v)
	if err != nil {
		klog.ErrorS(err, "Failed to encode datagram")
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		klog.V(1).InfoS("Failed to send datagram", "To", to.String(), "Error", err.Error())
	}
}
