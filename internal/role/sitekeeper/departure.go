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
	youngest := k.youngest(ctx, target, sentAfter)
	age := boottime.Now() - sentAfter
	known := k.Targets.Record(target)
	tell := func(t discovery.Target) error {
		return k.spread(ctx, leaveParams{
			Target: t, Age: age, SentAfter: youngest.sentAfter, Sender: k.address, Departure: departureKey{k.epoch, k.departures.add(sentAfter)},
		})
	}
	switch {
	case youngest.live && youngest.firstSeen <= sentAfter:
		t := youngest.Target
		t.Stage = discovery.Gone
		return k.Targets.Announce(t), tell(t)
	case !youngest.live && youngest.complete && known.Stage == discovery.Gone:
		// It says so again.
		return false, tell(known)
	case youngest.live, age > callerPatience:
		klog.InfoS("Departure was not recorded", "Target", target, "Known", youngest.live, "Born", youngest.Born,
			"SentAfterMs", sentAfter.Milliseconds(), "FirstSeenMs", youngest.firstSeen.Milliseconds(), "AgeMs", age.Milliseconds())
		k.marks.freshen(ctx, boottime.Now())
		return false, discovery.ErrLateDeparture
	}
	if changed, err = k.Targets.Leave(target, sentAfter); err != nil {
		return false, err
	}
	return changed, tell(k.Targets.Record(target))
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
	// sentAfter holds a time before the departure for each keeper that has answered, by
	// its epoch and its boottime clock.
	sentAfter map[string]time.Duration
}

// youngest asks the other keepers for the youngest incarnation of a target that has said
// that it leaves after a time of the boottime clock.
func (k *Keeper) youngest(ctx context.Context, target id.Target, sentAfter time.Duration) incarnation {
	out := incarnation{sentAfter: map[string]time.Duration{}}
	out.Target, out.firstSeen, out.live = k.Targets.Live(target)
	answers, complete := k.raftNode.AskOthers(ctx, lookupMethod, lookupParams{ID: target}, cmp.Or(k.lookupTimeout, defaultLookupTimeout))
	out.complete = complete
	for _, answer := range answers {
		var other lookupResponse
		if err := json.Unmarshal(answer, &other); err != nil {
			klog.InfoS("Answer of another keeper can't be read", "Target", target, "Error", err.Error())
			continue
		}
		out.add(other, sentAfter)
	}
	return out
}

// add records the answer of another keeper.
func (i *incarnation) add(other lookupResponse, sentAfter time.Duration) {
	now := boottime.Now()
	if other.Epoch != "" {
		i.sentAfter[other.Epoch] = other.Now - (now - sentAfter)
	}
	firstSeen := now - other.KnownFor
	switch {
	case other.Live == nil || i.live && other.Live.Born < i.Born:
	case i.live && other.Live.Born == i.Born:
		i.firstSeen = min(i.firstSeen, firstSeen)
	default:
		i.Target, i.firstSeen, i.live = *other.Live, firstSeen, true
	}
}

type lookupParams struct{ ID id.Target }

// lookupResponse holds the incarnation of a target that is live at a keeper, or nil.
type lookupResponse struct {
	Live *discovery.Target
	// KnownFor is the time since it was first announced, in nanoseconds.
	KnownFor time.Duration
	// Epoch and Now are those of the keeper that answers, Now by its boottime clock. Epoch
	// is empty from keepers of versions that did not send it.
	Epoch string
	Now   time.Duration
}

// handleLookup returns the incarnation of a target that is live here.
func (k *Keeper) handleLookup(_ context.Context, params json.RawMessage) (any, error) {
	var in lookupParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	t, firstSeen, ok := k.Targets.Live(in.ID)
	if !ok {
		return lookupResponse{Epoch: k.epoch, Now: boottime.Now()}, nil
	}
	now := boottime.Now()
	return lookupResponse{Live: &t, KnownFor: now - firstSeen, Epoch: k.epoch, Now: now}, nil
}
