package node

import (
	"context"
	"testing"
	"time"
)

// startGroup starts three keepers that know a leader. It returns the leader's index too.
func startGroup(t *testing.T) (keepers []*keeper, leader int) {
	t.Helper()
	all := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	for _, a := range all {
		keepers = append(keepers, startKeeper(t, a, t.TempDir(), all, all))
	}
	propose(t, keepers[0], 2)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		known := true
		for i, k := range keepers {
			st := k.Status()
			known = known && st.Leader != ""
			if st.IsLeader {
				leader = i
			}
		}
		if known {
			return keepers, leader
		}
	}
	t.Fatal("not all keepers know a leader")
	return nil, 0
}

// TestHoldsProposalIsNotRepeatedAtItsLeader guards against a keeper that proposes an order
// again each second while the leader's disk still syncs it: the copies kept the disk busy
// until no order was on it in time.
func TestHoldsProposalIsNotRepeatedAtItsLeader(t *testing.T) {
	keepers, leader := startGroup(t)
	for i, k := range keepers {
		patient, cancel := context.WithTimeout(t.Context(), 5*forwardTimeout)
		calls := 0
		err := k.callLeader(patient, func(ctx context.Context, _ string) error {
			calls++
			select {
			case <-ctx.Done():
			case <-time.After(2 * forwardTimeout):
			}
			return ctx.Err()
		})
		cancel()
		if err != nil || calls != 1 {
			t.Errorf("keeper %d, leader %d: %d calls, error %v, want one that lasts", i, leader, calls, err)
		}
	}
}

// TestHoldsProposalMovesToTheNextLeader guards against an order that waits for a leader
// which no longer leads.
func TestHoldsProposalMovesToTheNextLeader(t *testing.T) {
	keepers, leader := startGroup(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	k := keepers[(leader+1)%len(keepers)]
	before, calls := k.Status().Leader, 0
	err := k.callLeader(ctx, func(ctx context.Context, _ string) error {
		if calls++; k.Status().Leader != before {
			return nil
		}
		go keepers[leader].stop()
		<-ctx.Done()
		return ctx.Err()
	})
	if err != nil || calls < 2 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}
