package sitekeeper

import (
	"context"
	"encoding/json"
	"time"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/rpc"
)

const (
	// maxWatchWait bounds the wait that a watcher may request.
	maxWatchWait = 2 * time.Second
	// batchDelay combines changes in quick succession into one response.
	batchDelay = 15 * time.Millisecond
	// slowBatchDelay is the same for changes of targets and watchers other than
	// entries. A change of the weights of all engines would wake each of many
	// agents once for each engine otherwise.
	slowBatchDelay = 400 * time.Millisecond
)

func (k *Keeper) handleWatch(ctx context.Context, params json.RawMessage) (any, error) {
	receivedAt := boottime.Now()
	var in watch.Request
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	k.mu.Lock()
	k.watchers[watcher{in.Role, in.Name}] = watcherState{at: time.Now(), demand: in.Demand, mirror: in.Mirror, region: in.Region}
	k.mu.Unlock()
	k.awaitChanges(ctx, in)
	return k.buildResponse(in, receivedAt), nil
}

// awaitChanges returns once there are changes that the watcher lacks, its
// requested wait is over or the context ends.
func (k *Keeper) awaitChanges(ctx context.Context, in watch.Request) {
	timer := time.NewTimer(min(time.Duration(in.HoldMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		stateChanged, targetsChanged := k.Machine.Changed(), k.Targets.Changed()
		var suspectsChanged <-chan struct{}
		if in.Role == RoleEntry {
			suspectsChanged = k.judge.Changed()
		}
		if k.hasChanges(in) {
			return
		}
		var confirmed <-chan struct{}
		if in.Unconfirmed {
			next, recent := k.nextConfirmation()
			if recent {
				return
			}
			confirmed = next
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-confirmed:
		case <-stateChanged:
		case <-suspectsChanged:
			clock.Sleep(ctx, batchDelay)
		case <-targetsChanged:
			delay := batchDelay
			if in.Role != RoleEntry {
				delay = slowBatchDelay
			}
			awaitAny(ctx, delay, stateChanged)
		}
	}
}

// awaitAny returns after the delay, or earlier if the channel is closed or the
// context ends.
func awaitAny(ctx context.Context, delay time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-timer.C:
	}
}

func (k *Keeper) hasChanges(in watch.Request) bool {
	if in.Epoch != k.epoch {
		return true
	}
	changed, _ := k.Targets.Since(in.Targets)
	st := k.Machine.State()
	if in.Role == RoleEntry && k.judge.Position() != in.Suspects {
		return true
	}
	return len(changed) > 0 || st.Index > in.Index || in.Document && st.PlanIndex > in.PlanIndex
}

func (k *Keeper) buildResponse(in watch.Request, receivedAt time.Duration) watch.Response {
	k.mu.Lock()
	confirmed := k.confirmedAt
	k.mu.Unlock()
	if in.Epoch != k.epoch {
		in.Targets, in.Suspects = 0, 0
	}
	out := watch.Response{
		Epoch: k.epoch, Region: k.region, Confirmed: confirmed > 0, ConfirmedMs: (confirmed - receivedAt).Milliseconds(),
		Keepers: k.keeperAddresses(), Entries: k.countWatchers(RoleEntry),
	}
	if in.Role != RoleEntry {
		out.Mirrors = k.mirrors()
	}
	if len(in.Demand) > 0 {
		out.Demand = k.totalDemand()
	}
	out.Targets, out.Position = k.Targets.Since(in.Targets)
	st := k.Machine.State()
	if in.Role == RoleEntry {
		out.SuspectsAt = k.judge.Position()
	}
	if out.SuspectsAt != in.Suspects {
		out.Suspects, out.SuspectsAt = k.judge.Suspects()
	}
	wanted := in.Document && st.PlanIndex > in.PlanIndex
	if st.Index <= in.Index && !wanted {
		return out
	}
	out.HeldMs = (boottime.Now() - receivedAt).Milliseconds()
	out.State = &watch.State{
		Index: st.Index, PlanIndex: st.PlanIndex, Version: st.Version,
		Withdrawn: domainList(st.Withdrawn),
	}
	for _, w := range k.Machine.WeightsVersions() {
		out.State.Weights = append(out.State.Weights, watch.WeightsVersion{Model: w.Model, Version: w.Version, AgeMs: w.Age.Milliseconds()})
	}
	for _, v := range st.Quarantine {
		age := max(time.Since(time.UnixMilli(v.ChangedMs)), 0)
		out.State.Quarantine = append(out.State.Quarantine, watch.Verdict{Verdict: v, AgeMs: age.Milliseconds()})
	}
	if wanted {
		out.State.Document = st.Document
	}
	return out
}
