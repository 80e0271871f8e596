package sitekeeper

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/wire/rpc"
)

const (
	// lookupMethod returns what a keeper knows of a target.
	lookupMethod = "site.target"
	// lookupTimeout limits the wait for the others' answers.
	lookupTimeout = 250 * time.Millisecond
	// callerPatience is how long a target waits for a response before it calls another
	// keeper.
	callerPatience = time.Second
)

// Leave records that a target has left, as Announce does. The target may have started
// anew under its id and announced that to another keeper only. The youngest incarnation
// that is live at any keeper leaves, or one that none knows which answers. Leave returns
// discovery.ErrLateDeparture, and has no effect, if an earlier incarnation may have said
// so.
func (k *Keeper) Leave(ctx context.Context, target id.Target) (changed bool, err error) {
	sentAfter := k.dateOf(ctx).at
	t, firstSeen, live := k.youngest(ctx, target)
	age := boottime.Now() - sentAfter
	switch {
	case live && firstSeen <= sentAfter:
		t.Stage = discovery.Gone
		return k.Targets.Announce(t), k.spread(ctx, leaveParams{Target: t})
	case live || age > callerPatience:
		klog.InfoS("Departure was not recorded", "Target", target, "Known", live, "Born", t.Born,
			"SentAfterMs", sentAfter.Milliseconds(), "FirstSeenMs", firstSeen.Milliseconds(), "AgeMs", age.Milliseconds())
		return false, discovery.ErrLateDeparture
	}
	if changed, err = k.Targets.Leave(target, sentAfter); err != nil {
		return false, err
	}
	return changed, k.spread(ctx, leaveParams{Target: k.Targets.Record(target), Age: age})
}

// youngest returns the youngest incarnation of a target that is live at a keeper which
// answers, and a time of the boottime clock by which it had been announced to one. It
// returns false if there is none.
func (k *Keeper) youngest(ctx context.Context, target id.Target) (t discovery.Target, firstSeen time.Duration, live bool) {
	t, firstSeen, live = k.Targets.Live(target)
	for _, answer := range k.raftNode.AskOthers(ctx, lookupMethod, lookupParams{ID: target}, lookupTimeout) {
		var other lookupResponse
		if err := json.Unmarshal(answer, &other); err != nil {
			klog.InfoS("Answer of another keeper can't be read", "Target", target, "Error", err.Error())
			continue
		}
		if other.Live == nil || live && other.Live.Born < t.Born {
			continue
		}
		at := boottime.Now() - other.KnownFor
		if live && other.Live.Born == t.Born {
			firstSeen = min(firstSeen, at)
			continue
		}
		t, firstSeen, live = *other.Live, at, true
	}
	return t, firstSeen, live
}

type lookupParams struct{ ID id.Target }

// lookupResponse holds the incarnation of a target that is live at a keeper, or nil.
type lookupResponse struct {
	Live *discovery.Target
	// KnownFor is the time since it was first announced, in nanoseconds.
	KnownFor time.Duration
}

// handleLookup returns the incarnation of a target that is live here.
func (k *Keeper) handleLookup(_ context.Context, params json.RawMessage) (any, error) {
	var in lookupParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	t, firstSeen, ok := k.Targets.Live(in.ID)
	if !ok {
		return lookupResponse{}, nil
	}
	return lookupResponse{Live: &t, KnownFor: boottime.Now() - firstSeen}, nil
}
