package sitestate

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
)

// order is an order of an operator for a failure domain.
type order struct {
	domain id.Domain
	out    bool
	// after is the position that the order names.
	after uint64
}

// orders is a state machine to which orders are applied, one log position each.
type orders struct {
	t *testing.T
	Machine
	index uint64
	// restores replaces the machine by one restored from its snapshot before each order.
	restores bool
}

// apply reports whether the order was acknowledged.
func (o *orders) apply(in order) bool {
	o.t.Helper()
	if o.restores {
		data, err := o.Snapshot()
		if err != nil {
			o.t.Fatal(err)
		}
		o.Machine = Machine{}
		if err := o.Restore(data); err != nil {
			o.t.Fatal(err)
		}
	}
	data, err := Encode(Command{Withdraw: &DomainChange{Domain: in.domain, Out: in.out, After: &in.after, Tracked: true}})
	if err != nil {
		o.t.Fatal(err)
	}
	o.index++
	return o.Apply(o.index, data) == nil
}

// step is one order of an operator that sends the next one only when this one is
// acknowledged or given up.
type step struct {
	domain id.Domain
	out    bool
	// givenUp orders are applied after the step lateBy steps later, and again after
	// the last one. Others are sent again until they are acknowledged.
	givenUp bool
	lateBy  int
	// oldConnection orders name position 0, as on a connection that has been open since.
	oldConnection bool
}

// play applies the steps and returns the state. It checks after each order that is
// applied late that it undoes no order that was acknowledged after it was given up.
func (o *orders) play(steps []step) State {
	o.t.Helper()
	type late struct {
		order
		at int
	}
	var waiting []late
	// promised holds the last acknowledged order of each domain, as long as none that
	// was sent later has been given up.
	promised := map[id.Domain]bool{}
	for i, s := range steps {
		now := order{s.domain, s.out, o.Position()}
		if s.oldConnection {
			now.after = 0
		}
		if s.givenUp {
			waiting = append(waiting, late{now, i + s.lateBy})
			delete(promised, s.domain)
		} else {
			if !o.apply(now) {
				now.after = o.Position()
				if !o.apply(now) {
					o.t.Fatalf("order %+v that was sent again was not taken: %+v", now, steps)
				}
			}
			promised[s.domain] = s.out
		}
		for _, l := range waiting {
			if l.at == i || i == len(steps)-1 {
				o.apply(l.order)
			}
		}
		for d, out := range promised {
			if got := o.State().Withdrawn[d]; got != out {
				o.t.Fatalf("step %d: %s is withdrawn: %t, acknowledged: %t: %+v", i, d, got, out, steps)
			}
		}
	}
	return o.State()
}

// allSteps returns every step for a domain.
func allSteps(d id.Domain) []step {
	var out []step
	for _, wish := range []bool{false, true} {
		for _, old := range []bool{false, true} {
			out = append(out, step{domain: d, out: wish, oldConnection: old})
			for lateBy := range 3 {
				out = append(out, step{domain: d, out: wish, oldConnection: old, givenUp: true, lateBy: lateBy})
			}
		}
	}
	return out
}

// eachSequence calls f for all sequences of n steps.
func eachSequence(steps []step, n int, f func([]step)) {
	sequence := make([]step, n)
	var choose func(int)
	choose = func(i int) {
		if i == n {
			f(sequence)
			return
		}
		for _, s := range steps {
			sequence[i] = s
			choose(i + 1)
		}
	}
	choose(0)
}

// TestHoldsAcknowledgedOrderIsDefended guards against orders that were given up and
// undo a newer one: one that found its domain as it wanted it was acknowledged and left
// no trace (review case 7). It plays all sequences of a few orders, acknowledged or
// given up, on new and old connections, with and without a restart before each, and
// checks that the next order is always taken.
func TestHoldsAcknowledgedOrderIsDefended(t *testing.T) {
	check := func(steps []step) {
		o, restored := &orders{t: t}, &orders{t: t, restores: true}
		got := o.play(steps)
		if diff := cmp.Diff(got, restored.play(steps)); diff != "" {
			t.Fatalf("with restarts, %+v (-without +with):\n%s", steps, diff)
		}
		for _, out := range []bool{true, false} {
			if !o.apply(order{steps[0].domain, out, o.Position()}) || o.State().Withdrawn[steps[0].domain] != out {
				t.Fatalf("next order %t was not taken: %+v", out, steps)
			}
		}
	}
	eachSequence(allSteps("a"), 3, check)
	var both []step
	for _, d := range []id.Domain{"a", "b"} {
		for _, out := range []bool{false, true} {
			both = append(both, step{domain: d, out: out}, step{domain: d, out: out, givenUp: true, lateBy: 1})
		}
	}
	eachSequence(both, 4, check)
}

// TestRepeatedOrderWakesNoWatcher guards against the cost of an operator that repeats
// orders: each wakes no watcher, and does not advance the state that they compare.
func TestRepeatedOrderWakesNoWatcher(t *testing.T) {
	o := &orders{t: t}
	o.apply(order{"a", true, 0})
	changed, before := o.Changed(), o.State()
	for range 300 {
		if !o.apply(order{"a", true, o.Position()}) {
			t.Fatal("a repeated order was not acknowledged")
		}
	}
	select {
	case <-changed:
		t.Error("repeated orders woke watchers")
	default:
	}
	after := o.State()
	if o.Position() != o.index {
		t.Errorf("position %d after the order at %d", o.Position(), o.index)
	}
	after.OrderIndex = before.OrderIndex
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("state after repeated orders (-before +after):\n%s", diff)
	}
}

// TestOrderOnOldConnectionIsAcknowledgedAgain guards against 503 for an order that its
// operator repeats on a connection that has long been open, while none to the contrary
// came.
func TestOrderOnOldConnectionIsAcknowledgedAgain(t *testing.T) {
	o := &orders{t: t}
	for range 3 {
		if !o.apply(order{"a", true, 0}) {
			t.Error("an order that is in effect was not acknowledged again")
		}
	}
}

// TestOrdersOfEarlierVersionsKeepTheirEffect guards against keepers that differ after an
// upgrade: logs and snapshots written before orders were tracked lead to the same state
// as before, and earlier versions load the snapshots of this one.
func TestOrdersOfEarlierVersionsKeepTheirEffect(t *testing.T) {
	type earlierState struct {
		Index       uint64
		Withdrawn   map[id.Domain]bool
		DomainIndex map[id.Domain]uint64
	}
	var m Machine
	after := uint64(1)
	for i, out := range []bool{true, true, false} {
		apply(t, &m, uint64(i+1), Command{Withdraw: &DomainChange{Domain: "a", Out: out, After: &after}})
	}
	want := earlierState{Index: 3, Withdrawn: map[id.Domain]bool{}, DomainIndex: map[id.Domain]uint64{"a": 3}}
	got := func(data []byte) (s earlierState) {
		t.Helper()
		if err := cbor.Unmarshal(data, &s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got(data)); diff != "" {
		t.Errorf("state of an earlier log (-want +got):\n%s", diff)
	}
	earlier, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var restored Machine
	if err := restored.Restore(earlier); err != nil {
		t.Fatal(err)
	}
	o := &orders{t: t, index: 3}
	o.Machine.state = restored.State()
	for i, out := range []bool{true, true, false} {
		if !o.apply(order{"a", out, o.Position()}) {
			t.Errorf("order %d after an earlier snapshot was not taken", i)
		}
	}
	if data, err = o.Snapshot(); err != nil {
		t.Fatal(err)
	}
	want = earlierState{Index: 6, Withdrawn: map[id.Domain]bool{}, DomainIndex: map[id.Domain]uint64{"a": 6}}
	if diff := cmp.Diff(want, got(data)); diff != "" {
		t.Errorf("state as an earlier version loads it (-want +got):\n%s", diff)
	}
}

// TestOrderHealsKeepersOfTwoVersions checks that keepers of which one has applied a part
// of the log with an earlier version agree from the next order of the domain on.
func TestOrderHealsKeepersOfTwoVersions(t *testing.T) {
	for _, next := range []bool{true, false} {
		current, earlier := &orders{t: t}, &orders{t: t}
		for _, o := range []*orders{current, earlier} {
			o.apply(order{"a", true, 0})
			o.apply(order{"a", true, 1})
			if o == earlier {
				delete(o.state.OrderIndex, "a")
			}
			o.apply(order{"a", false, 1})
		}
		if cmp.Equal(current.State().Withdrawn, earlier.State().Withdrawn) {
			t.Fatal("the versions do not differ")
		}
		in := order{"a", next, current.index}
		current.apply(in)
		earlier.apply(in)
		if diff := cmp.Diff(fmt.Sprint(current.State().Withdrawn, current.State().OrderIndex), fmt.Sprint(earlier.State().Withdrawn, earlier.State().OrderIndex)); diff != "" {
			t.Errorf("after the order %t (-current +earlier):\n%s", next, diff)
		}
	}
}
