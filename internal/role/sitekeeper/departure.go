package sitekeeper

import (
	"cmp"
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
	// defaultLookupTimeout limits the wait for the others' answers.
	defaultLookupTimeout = 250 * time.Millisecond
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
	youngest := k.youngest(ctx, target)
	age := boottime.Now() - sentAfter
	known := k.Targets.Record(target)
	switch {
	case youngest.live && youngest.firstSeen <= sentAfter:
		t := youngest.Target
		t.Stage = discovery.Gone
		return k.Targets.Announce(t), k.spread(ctx, leaveParams{Target: t, Age: age})
	case !youngest.live && youngest.complete && known.Stage == discovery.Gone:
		// It says so again.
		return false, k.spread(ctx, leaveParams{Target: known, Age: age})
	case youngest.live, age > callerPatience:
		klog.InfoS("Departure was not recorded", "Target", target, "Known", youngest.live, "Born", youngest.Born,
			"SentAfterMs", sentAfter.Milliseconds(), "FirstSeenMs", youngest.firstSeen.Milliseconds(), "AgeMs", age.Milliseconds())
		k.marks.freshen(ctx, boottime.Now())
		return false, discovery.ErrLateDeparture
	}
	if changed, err = k.Targets.Leave(target, sentAfter); err != nil {
		return false, err
	}
	return changed, k.spread(ctx, leaveParams{Target: k.Targets.Record(target), Age: age})
}

// incarnation is the youngest incarnation of a target that is live at a keeper.
type incarnation struct {
	discovery.Target
	// live is false if there is none.
	live bool
	// firstSeen is a time by which it had been announced to a keeper, by the boottime
	// clock.
	firstSeen time.Duration
	// complete is set if all keepers have answered.
	complete bool
}

// youngest asks the other keepers for the youngest incarnation of a target.
func (k *Keeper) youngest(ctx context.Context, target id.Target) incarnation {
	var out incarnation
	out.Target, out.firstSeen, out.live = k.Targets.Live(target)
	answers, complete := k.raftNode.AskOthers(ctx, lookupMethod, lookupParams{ID: target}, cmp.Or(k.lookupTimeout, defaultLookupTimeout))
	out.complete = complete
	for _, answer := range answers {
		var other lookupResponse
		if err := json.Unmarshal(answer, &other); err != nil {
			klog.InfoS("Answer of another keeper can't be read", "Target", target, "Error", err.Error())
			continue
		}
		firstSeen := boottime.Now() - other.KnownFor
		switch {
		case other.Live == nil || out.live && other.Live.Born < out.Born:
		case out.live && other.Live.Born == out.Born:
			out.firstSeen = min(out.firstSeen, firstSeen)
		default:
			out.Target, out.firstSeen, out.live = *other.Live, firstSeen, true
		}
	}
	return out
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
