package sitekeeper

import (
	"context"
	"encoding/json"
	"time"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/rpc"
)

const (
	// maxWatchWait bounds the wait that a follower may ask for.
	maxWatchWait = 2 * time.Second
	// batchDelay joins changes that come close together into one answer.
	batchDelay = 15 * time.Millisecond
)

func (s *Keeper) handleWatch(ctx context.Context, params json.RawMessage) (any, error) {
	arrived := boottime.Now()
	var in watch.Request
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	s.mu.Lock()
	s.watchers[watcher{in.Role, in.Name}] = time.Now()
	s.mu.Unlock()
	s.awaitChanges(ctx, in)
	return s.buildResponse(in, arrived), nil
}

// awaitChanges returns once there is something that the follower lacks, or its
// patience ends.
func (s *Keeper) awaitChanges(ctx context.Context, in watch.Request) {
	hold := time.NewTimer(min(time.Duration(in.HoldMs)*time.Millisecond, maxWatchWait))
	defer hold.Stop()
	for {
		state, targets := s.Machine.Changed(), s.Targets.Changed()
		if s.hasChanges(in) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-hold.C:
			return
		case <-state:
		case <-targets:
			time.Sleep(batchDelay)
		}
	}
}

func (s *Keeper) hasChanges(in watch.Request) bool {
	if in.Epoch != s.epoch {
		return true
	}
	changed, _ := s.Targets.Since(in.Targets)
	st := s.Machine.State()
	return len(changed) > 0 || st.Index > in.Index || in.Document && st.PlanIndex > in.PlanIndex
}

func (s *Keeper) buildResponse(in watch.Request, arrived time.Duration) watch.Response {
	s.mu.Lock()
	confirmed := s.confirmedAt
	s.mu.Unlock()
	if in.Epoch != s.epoch {
		in.Targets = 0
	}
	out := watch.Response{
		Epoch: s.epoch, Region: s.region, Confirmed: confirmed > 0, ConfirmedMs: (confirmed - arrived).Milliseconds(),
		Keepers: s.keeperAddresses(), Entries: s.countWatchers(RoleEntry),
	}
	out.Targets, out.Position = s.Targets.Since(in.Targets)
	st := s.Machine.State()
	wanted := in.Document && st.PlanIndex > in.PlanIndex
	if st.Index <= in.Index && !wanted {
		return out
	}
	out.State = &watch.State{
		Index: st.Index, PlanIndex: st.PlanIndex, Version: st.Version,
		Withdrawn: domainList(st.Withdrawn),
	}
	for _, n := range s.Machine.WeightsVersions() {
		out.State.Weights = append(out.State.Weights, watch.WeightsVersion{Model: n.Model, Version: n.Version, AgeMs: n.Age.Milliseconds()})
	}
	if wanted {
		out.State.Document = st.Document
	}
	return out
}
