package loadreport

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"egretproxy/internal/site/allotment"
)

// TestLoadReachesSubscribers sends a load over the loopback interface and
// checks the measured round-trip time.
func TestLoadReachesSubscribers(t *testing.T) {
	s, err := NewSender("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := NewReceiver("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	subscribed := make(chan struct{}, 1)
	go s.Run(ctx, func() { subscribed <- struct{}{} })
	type arrival struct {
		load  Load
		delay time.Duration
	}
	arrived := make(chan arrival, 1)
	go r.Run(ctx, func(l Load, a Arrival) { arrived <- arrival{l, a.Delay} })
	r.Subscribe(s.conn.LocalAddr().String(), "t", allotment.Claim{Demand: 1})
	select {
	case <-subscribed:
	case <-time.After(10 * time.Second):
		t.Fatal("no subscription")
	}
	s.Send(Load{Active: 3, Weights: 2}, Places{})
	select {
	case a := <-arrived:
		if a.load.Target != "t" || a.load.Active != 3 || a.load.Weights != 2 {
			t.Errorf("%+v", a.load)
		}
		if a.delay < -5*time.Millisecond || a.delay > 5*time.Second {
			t.Errorf("delay %s", a.delay)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no load")
	}
}

// TestOvertakenReportsAreIgnored sends reports out of order, from an agent that
// restarts and from one of an earlier version, which doesn't number its reports.
func TestOvertakenReportsAreIgnored(t *testing.T) {
	r, err := NewReceiver("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	arrived := make(chan int, 10)
	go r.Run(ctx, func(l Load, _ Arrival) { arrived <- l.Active })
	to := r.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, l := range []Load{
		{Active: 1, Epoch: 7, Sequence: 1},
		{Active: 2, Epoch: 7, Sequence: 3},
		{Active: 9, Epoch: 7, Sequence: 2},
		{Active: 3, Epoch: 8, Sequence: 1},
		{Active: 4},
		{Active: 5},
	} {
		write(agent, to, l)
	}
	for want := 1; want <= 5; want++ {
		select {
		case got := <-arrived:
			if got != want {
				t.Errorf("report %d arrived, want %d", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("report %d did not arrive", want)
		}
	}
}

// TestNumbersOutOfRangeAreRejected guards against a datagram that spoils the shares
// of all entries: a demand that is not a number made every part one that isn't.
func TestNumbersOutOfRangeAreRejected(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, s := range []Subscription{{Demand: nan}, {Demand: inf}, {Demand: -1}, {Held: nan}, {Held: 2}, {Held: -1}} {
		if s.valid() {
			t.Errorf("subscription %+v is valid", s)
		}
	}
	for _, l := range []Load{
		{Active: -1},
		{Queued: -1},
		{Part: nan},
		{Part: 1.5},
		{Part: -1},
		{Sharers: -1},
		{Places: -1},
		{Places: math.MaxInt},
		{PlacesMs: -1},
		{PlacesMs: math.MaxInt64},
		{Slowdown: nan},
		{Slowdown: -1},
		{Slowdown: inf},
	} {
		if l.valid() {
			t.Errorf("load %+v is valid", l)
		}
	}
	if !(&Subscription{Demand: 3, Held: 0.2}).valid() || !(&Load{Active: 3, Part: 1, Sharers: 4, Places: 9, PlacesMs: 90}).valid() {
		t.Error("usual numbers are not valid")
	}
}
