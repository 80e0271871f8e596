package steward

import (
	"context"
	"encoding/json"
	"time"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/feed"
	"egretproxy/internal/wire/rpc"
)

const (
	// maxHold bounds the wait that a follower may ask for.
	maxHold = 2 * time.Second
	// gatherFor joins changes that come close together into one answer.
	gatherFor = 15 * time.Millisecond
)

func (s *Steward) handleWatch(ctx context.Context, params json.RawMessage) (any, error) {
	arrived := boottime.Now()
	var in feed.Watch
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.BadParams(err)
	}
	s.mu.Lock()
	s.followers[follower{in.Role, in.Name}] = time.Now()
	s.mu.Unlock()
	s.awaitNews(ctx, in)
	return s.news(in, arrived), nil
}

// awaitNews returns once there is something that the follower lacks, or its
// patience ends.
func (s *Steward) awaitNews(ctx context.Context, in feed.Watch) {
	hold := time.NewTimer(min(time.Duration(in.HoldMs)*time.Millisecond, maxHold))
	defer hold.Stop()
	for {
		state, targets := s.Charter.Changed(), s.Muster.Changed()
		if s.hasNews(in) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-hold.C:
			return
		case <-state:
		case <-targets:
			time.Sleep(gatherFor)
		}
	}
}

func (s *Steward) hasNews(in feed.Watch) bool {
	if in.Epoch != s.epoch {
		return true
	}
	changed, _ := s.Muster.Since(in.Targets)
	st := s.Charter.State()
	return len(changed) > 0 || st.Index > in.Index || in.Document && st.PlanIndex > in.PlanIndex
}

func (s *Steward) news(in feed.Watch, arrived time.Duration) feed.News {
	s.mu.Lock()
	confirmed := s.confirmedAt
	s.mu.Unlock()
	if in.Epoch != s.epoch {
		in.Targets = 0
	}
	out := feed.News{
		Epoch: s.epoch, Region: s.region, Confirmed: confirmed > 0, ConfirmedMs: (confirmed - arrived).Milliseconds(),
		Keepers: s.keepers(), Entries: s.followed(RoleEntry),
	}
	out.Targets, out.Position = s.Muster.Since(in.Targets)
	st := s.Charter.State()
	wanted := in.Document && st.PlanIndex > in.PlanIndex
	if st.Index <= in.Index && !wanted {
		return out
	}
	out.State = &feed.State{
		Index: st.Index, PlanIndex: st.PlanIndex, Version: st.Version,
		Withdrawn: domains(st.Withdrawn),
	}
	for _, n := range s.Charter.Namings() {
		out.State.Weights = append(out.State.Weights, feed.Naming{Model: n.Model, Version: n.Version, AgeMs: n.Age.Milliseconds()})
	}
	if wanted {
		out.State.Document = st.Document
	}
	return out
}
