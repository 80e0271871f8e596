package sitekeeper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/wire/rpc"
)

const (
	// leaveMethod tells a keeper that a target leaves.
	leaveMethod = "site.leave"
	// spreadTimeout limits the time for a quorum to learn of it. Targets wait for one
	// second for a response.
	spreadTimeout = 600 * time.Millisecond
	// ageMethod tells a keeper how long ago a target left of which this one told it.
	ageMethod  = "site.departureAge"
	ageTimeout = time.Second
	// maxSpread bounds the number of targets of which spreadLog knows.
	maxSpread = 4096
)

// spreadLog holds the last announcement of each target that leaves of which a quorum
// of keepers has been told. It is safe for concurrent use. The zero value is empty.
type spreadLog struct {
	mu   sync.Mutex
	told map[id.Target]leaving
}

// leaving is a stage of an incarnation of a target.
type leaving struct {
	born  int64
	stage discovery.Stage
}

// has reports whether a quorum has been told of the stage. Incarnations without a start
// time can't be told apart.
func (s *spreadLog) has(t discovery.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.Born != 0 && s.told[t.ID] == leaving{t.Born, t.Stage}
}

func (s *spreadLog) add(t discovery.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told == nil || len(s.told) >= maxSpread {
		s.told = map[id.Target]leaving{}
	}
	s.told[t.ID] = leaving{t.Born, t.Stage}
}

// Announce records the announcement of a target and reports whether it changes
// anything that entries act on. If the target leaves, it returns an error unless a
// quorum of keepers has recorded it: entries that start would take an older
// announcement at another keeper for the newest, once this one has restarted.
func (k *Keeper) Announce(ctx context.Context, t discovery.Target) (changed bool, err error) {
	changed = k.Targets.Announce(t)
	if t.Stage != discovery.Draining {
		return changed, nil
	}
	return changed, k.spread(ctx, leaveParams{Target: t})
}

// leaveParams tells a keeper that a target leaves.
type leaveParams struct {
	discovery.Target
	// Age is how long ago the target said so at most, in nanoseconds. Keepers need it if
	// they know an incarnation that the sender doesn't. It is 0 from keepers of versions
	// that did not send it.
	Age time.Duration
	// SentAfter holds a time before the target said so for each keeper that the sender
	// has asked since, by its epoch and its boottime clock. It is nil from keepers of
	// versions that did not send it.
	SentAfter map[string]time.Duration
	// Sender is the address at which the others are told how long ago that was.
	Sender string
	// Departure is the departure's entry in the sender's departureLog.
	Departure departureKey
}

// spread tells the other keepers of a target that leaves, once for each stage.
func (k *Keeper) spread(ctx context.Context, t leaveParams) error {
	if k.left.has(t.Target) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	if err := k.raftNode.CallOthers(ctx, leaveMethod, t); err != nil {
		klog.InfoS("Other keepers were not told of a target that leaves", "Target", t.ID, "Stage", t.Stage, "Error", err.Error())
		return err
	}
	k.left.add(t.Target)
	return nil
}

// handleLeave records what another keeper was told by a target that leaves.
func (k *Keeper) handleLeave(ctx context.Context, params json.RawMessage) (any, error) {
	var in leaveParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	t, changed := in.Target, false
	live, firstSeen, ok := k.Targets.Live(t.ID)
	// An incarnation that the sender lacks may be newer than the departure.
	later := ok && live.Born > t.Born
	var sentAfter time.Duration
	if t.Stage == discovery.Gone && later {
		var err error
		if sentAfter, err = k.dateLeave(ctx, in); err != nil {
			klog.InfoS("Departure was not dated", "Target", t.ID, "Sender", in.Sender, "Error", err.Error())
			return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
		}
	}
	switch {
	case t.Stage == discovery.Gone && t.Born == 0:
		// The other keeper knows no incarnation of the target.
		var err error
		if changed, err = k.Targets.Leave(t.ID, sentAfter); err != nil {
			klog.InfoS("Departure was not recorded", "Target", t.ID, "Error", err.Error())
			return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
		}
	case t.Stage == discovery.Gone && in.Age > 0 && later && firstSeen <= sentAfter:
		// It knows an earlier one only.
		live.Stage = discovery.Gone
		changed = k.Targets.Announce(live)
	case t.Stage == discovery.Gone || t.Stage == discovery.Draining:
		changed = k.Targets.Announce(t)
	}
	if changed {
		klog.InfoS("Target leaves, as another keeper was told", "Target", t.ID, "Stage", t.Stage)
	}
	return struct{}{}, nil
}

// dateLeave returns a time of the boottime clock after which a target said to another
// keeper that it leaves. The call of that may have waited here or on its way, so the
// sender is asked if it had no answer from this keeper.
func (k *Keeper) dateLeave(ctx context.Context, in leaveParams) (time.Duration, error) {
	if sentAfter, asked := in.SentAfter[k.epoch]; asked {
		return sentAfter, nil
	}
	if in.SentAfter == nil {
		return k.callSentAfter() - in.Age, nil
	}
	// The sender may have given up the call, which ends ctx.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ageTimeout)
	defer cancel()
	askedAt := boottime.Now()
	var age time.Duration
	if err := k.raftNode.CallMember(ctx, in.Sender, ageMethod, in.Departure, &age); err != nil {
		return 0, errors.Wrap(err, "ask for the age of a departure")
	}
	return askedAt - age, nil
}

// callSentAfter returns a time of the boottime clock after which a call from another
// keeper was sent that is read now. It may have waited here while this process did not
// run.
func (k *Keeper) callSentAfter() time.Duration {
	return k.pauses.record(boottime.Now(), k.Machine.Position()).at
}
