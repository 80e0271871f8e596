package sitekeeper

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/discovery"
)

// listenAddresses returns n addresses on which nothing listens.
func listenAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.Addr().String())
		_ = l.Close()
	}
	return addresses
}

// startKeepers runs a group of keepers until the test ends.
func startKeepers(t *testing.T, n int) []*Keeper {
	t.Helper()
	var out []*Keeper
	for _, k := range startRestartableKeepers(t, n) {
		out = append(out, k.Keeper)
	}
	return out
}

// TestHoldsLeaveOutlivesItsKeeper guards against requests to a target that has left: the
// keeper that acknowledged it restarted and forgot it, and an entry that started anew
// took an older announcement at another keeper for the newest.
func TestHoldsLeaveOutlivesItsKeeper(t *testing.T) {
	keepers := startKeepers(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	ready := discovery.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Domain: "z", Stage: discovery.Ready, Born: 5, Sequence: 1}
	gone := ready
	gone.ID = "u"
	for _, k := range keepers {
		if _, err := k.Announce(ctx, ready); err != nil {
			t.Fatal(err)
		}
		if _, err := k.Announce(ctx, gone); err != nil {
			t.Fatal(err)
		}
	}
	draining := ready
	draining.Stage, draining.Sequence = discovery.Draining, 2
	await := func(what string, call func() error) {
		t.Helper()
		for err := call(); err != nil; err = call() {
			if ctx.Err() != nil {
				t.Fatalf("%s: %v", what, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	await("announcement that the target leaves", func() error { _, err := keepers[0].Announce(ctx, draining); return err })
	await("departure", func() error { _, err := keepers[0].Leave(ctx, "u"); return err })
	for _, want := range []discovery.Target{draining, gone} {
		stage := discovery.Draining
		if want.ID == "u" {
			stage = discovery.Gone
		}
		informed := 0
		for _, k := range keepers {
			if k.Targets.Record(want.ID).Stage == stage {
				informed++
			}
		}
		if informed < 2 {
			t.Errorf("%s: %d keepers know that it leaves, want a quorum", want.ID, informed)
		}
	}
}

// leave sends the departure of a target to a keeper until it is acknowledged.
func leave(ctx context.Context, t *testing.T, k *Keeper, target id.Target) {
	t.Helper()
	for {
		_, err := k.Leave(ctx, target)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("departure: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHoldsDepartureIsThatOfTheRunningIncarnation guards against requests to a target
// that has left: it had started anew under its id and announced that to one keeper, and
// said that it leaves to another, which held an earlier incarnation. That one had left or
// changed nothing, and the departure was acknowledged without an effect.
func TestHoldsDepartureIsThatOfTheRunningIncarnation(t *testing.T) {
	first := discovery.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Domain: "z", Stage: discovery.Ready, Born: 5, Sequence: 9}
	next := first
	next.Born, next.Sequence = 8, 1
	for name, leaves := range map[string]bool{"the earlier one left": true, "the earlier one crashed": false} {
		t.Run(name, func(t *testing.T) {
			keepers := startKeepers(t, 3)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			if _, err := keepers[0].Announce(ctx, first); err != nil {
				t.Fatal(err)
			}
			if leaves {
				leave(ctx, t, keepers[0], "t")
			}
			if _, err := keepers[1].Announce(ctx, next); err != nil {
				t.Fatal(err)
			}
			leave(ctx, t, keepers[0], "t")
			awaitGone(ctx, t, keepers[1], next)
			// One that is repeated leaves the start time known.
			leave(ctx, t, keepers[1], "t")
			awaitGone(ctx, t, keepers[1], next)
		})
	}
}

// awaitGone waits until a keeper knows that an incarnation has left.
func awaitGone(ctx context.Context, t *testing.T, k *Keeper, incarnation discovery.Target) {
	t.Helper()
	want := incarnation
	want.Stage = discovery.Gone
	for got := k.Targets.Record(want.ID); got != want; got = k.Targets.Record(want.ID) {
		if ctx.Err() != nil {
			t.Fatalf("the keeper knows %+v, want %+v", got, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHoldsLeaveMarksAnIncarnationThatTheSenderLacks guards against the same if the only
// keeper that knows the running incarnation does not answer: it reads later that the
// target has left, by the earlier incarnation or by none. What was announced after the
// departure stays.
func TestHoldsLeaveMarksAnIncarnationThatTheSenderLacks(t *testing.T) {
	k := &Keeper{}
	earlier := discovery.Target{ID: "t", Address: "10.0.0.1:80", Stage: discovery.Gone, Born: 5}
	running := discovery.Target{ID: "t", Address: "10.0.0.1:80", Stage: discovery.Ready, Born: 8}
	for name, told := range map[string]discovery.Target{"earlier": earlier, "none": {ID: "t", Stage: discovery.Gone}} {
		for _, c := range []struct {
			age  time.Duration
			want discovery.Stage
		}{{time.Hour, discovery.Ready}, {time.Nanosecond, discovery.Gone}} {
			k.Targets = discovery.Registry{}
			k.Targets.Announce(running)
			params, err := json.Marshal(leaveParams{Target: told, Age: c.age})
			if err != nil {
				t.Fatal(err)
			}
			_, err = k.handleLeave(t.Context(), params)
			if got := k.Targets.Record("t"); got.Stage != c.want || got.Born != running.Born {
				t.Errorf("%s, %s ago: %+v, error %v, want stage %d", name, c.age, got, err, c.want)
			}
		}
	}
}

// TestHoldsLateDepartureLeavesNextIncarnationInService guards against the departure of an
// incarnation that lies in the socket of a keeper until the target has started anew under
// its id: the new incarnation got no requests for a minute. It must have no effect, at the
// keeper that knows the new incarnation and at one to which the target never announced
// itself, and the departure of the new one must be taken.
func TestHoldsLateDepartureLeavesNextIncarnationInService(t *testing.T) {
	first := discovery.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Domain: "z", Stage: discovery.Ready, Born: 5, Sequence: 9}
	next := first
	next.Born, next.Sequence = 8, 1
	for reader, name := range []string{"known", "unknown"} {
		t.Run(name, func(t *testing.T) {
			keepers := startKeepers(t, 3)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			announce := func(target discovery.Target) {
				t.Helper()
				if _, err := keepers[0].Announce(ctx, target); err != nil {
					t.Fatal(err)
				}
			}
			announce(first)
			late := withDate(ctx, keepers[reader].now())
			announce(next)
			if _, err := keepers[reader].Leave(late, "t"); !errors.Is(err, discovery.ErrLateDeparture) {
				t.Errorf("late departure: error %v, want %v", err, discovery.ErrLateDeparture)
			}
			if diff := cmp.Diff(next, keepers[0].Targets.Record("t")); diff != "" {
				t.Errorf("after a late departure (-want +got):\n%s", diff)
			}
			leave(withDate(ctx, keepers[reader].now()), t, keepers[reader], "t")
			awaitGone(ctx, t, keepers[0], next)
		})
	}
}

// TestHoldsDelayedLeaveLeavesNextIncarnationInService guards against a call by which a
// keeper tells another one of a departure, and which is delayed between them: it took an
// incarnation out of service that was announced meanwhile.
func TestHoldsDelayedLeaveLeavesNextIncarnationInService(t *testing.T) {
	next := discovery.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Domain: "z", Stage: discovery.Ready, Born: 7, Sequence: 1}
	told := map[string]discovery.Target{
		"none":    {ID: "t", Stage: discovery.Gone},
		"earlier": {ID: "t", Service: "s", Address: "10.0.0.1:80", Domain: "z", Stage: discovery.Gone, Born: 5, Sequence: 9},
	}
	// tell plays a departure of which a keeper is told after it was asked for the target.
	tell := func(k *Keeper, target discovery.Target, meanwhile func()) error {
		t.Helper()
		departure := boottime.Now()
		answer, err := k.handleLookup(t.Context(), encode(t, lookupParams{ID: "t"}))
		if err != nil {
			t.Fatal(err)
		}
		known := incarnation{sentAfter: map[string]time.Duration{}}
		known.add(answer.(lookupResponse), departure)
		age := boottime.Now() - departure
		meanwhile()
		_, err = k.handleLeave(t.Context(), encode(t, leaveParams{Target: target, Age: age, SentAfter: known.sentAfter}))
		return err
	}
	for name, target := range told {
		k := &Keeper{epoch: "receiver"}
		err := tell(k, target, func() { k.Targets.Announce(next) })
		if got := k.Targets.Record("t"); got != next {
			t.Errorf("%s, announced meanwhile: %+v, error %v", name, got, err)
		}
		// One that was announced before leaves. A departure right after it is told again.
		k.Targets = discovery.Registry{}
		k.Targets.Announce(next)
		deadline := time.Now().Add(30 * time.Second)
		for k.Targets.Record("t").Stage != discovery.Gone && time.Now().Before(deadline) {
			err = tell(k, target, func() {})
			time.Sleep(time.Millisecond)
		}
		if got := k.Targets.Record("t"); got.Stage != discovery.Gone || got.Born != next.Born {
			t.Errorf("%s, announced before: %+v, error %v", name, got, err)
		}
	}
}

// TestHoldsDelayedLeaveIsDatedByItsSender guards against the same at a keeper that did not
// answer when it was asked for the target: it took the call for as old as the sender had
// named, however late it read it.
func TestHoldsDelayedLeaveIsDatedByItsSender(t *testing.T) {
	next := discovery.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Domain: "z", Stage: discovery.Ready, Born: 7, Sequence: 1}
	gone := next
	gone.Stage = discovery.Gone
	keepers := startKeepers(t, 3)
	sender, reader := keepers[0], keepers[1]
	for len(reader.keeperAddresses()) < len(keepers) {
		time.Sleep(10 * time.Millisecond)
	}
	for name, told := range map[string]discovery.Target{
		"none":    {ID: "t", Stage: discovery.Gone},
		"earlier": {ID: "t", Service: "s", Address: "10.0.0.1:80", Domain: "z", Stage: discovery.Gone, Born: 5, Sequence: 9},
	} {
		// read plays a call of which the reader learns after the sender has given it up.
		read := func(key departureKey) error {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := reader.handleLeave(ctx, encode(t, leaveParams{
				Target: told, Age: time.Nanosecond, SentAfter: map[string]time.Duration{}, Sender: sender.address, Departure: key,
			}))
			return err
		}
		depart := func() departureKey { return departureKey{sender.epoch, sender.departures.add(boottime.Now())} }
		reader.Targets = discovery.Registry{}
		before := depart()
		reader.Targets.Announce(next)
		err := read(before)
		if diff := cmp.Diff(next, reader.Targets.Record("t")); diff != "" {
			t.Errorf("%s, announced after the departure, error %v (-want +got):\n%s", name, err, diff)
		}
		for _, unknown := range []departureKey{{"restarted", before.Number}, {sender.epoch, before.Number + 1}} {
			err = read(unknown)
			if diff := cmp.Diff(next, reader.Targets.Record("t")); diff != "" || err == nil {
				t.Errorf("%s, sender does not know the departure, error %v (-want +got):\n%s", name, err, diff)
			}
		}
		for deadline := time.Now().Add(30 * time.Second); reader.Targets.Record("t") != gone && time.Now().Before(deadline); {
			// The answer dates the departure too early by the time that it takes.
			time.Sleep(20 * time.Millisecond)
			err = read(depart())
		}
		if diff := cmp.Diff(gone, reader.Targets.Record("t")); diff != "" {
			t.Errorf("%s, announced before the departure, error %v (-want +got):\n%s", name, err, diff)
		}
	}
}

func encode(t *testing.T, v any) json.RawMessage {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
