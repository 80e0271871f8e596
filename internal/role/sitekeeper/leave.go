package sitekeeper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/wire/rpc"
)

const (
	// leaveMethod tells a keeper that a target leaves.
	leaveMethod = "site.leave"
	// lookupMethod returns what a keeper knows of a target.
	lookupMethod = "site.target"
	// lookupTimeout limits the wait for the others' answers.
	lookupTimeout = 250 * time.Millisecond
	// callerPatience is how long a target waits for a response before it calls another
	// keeper.
	callerPatience = time.Second
	// spreadTimeout limits the time for a quorum to learn of it. Targets wait for one
	// second for a response.
	spreadTimeout = 600 * time.Millisecond
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

// Leave records that a target has left, as Announce does. The target may have started
// anew under its id and announced that to another keeper only. The youngest incarnation
// that is live at any keeper leaves, or one that none knows which answers. Leave returns
// discovery.ErrLateDeparture, and has no effect, if an earlier incarnation may have said
// so.
func (k *Keeper) Leave(ctx context.Context, target id.Target) (changed bool, err error) {
	youngest := k.youngest(ctx, target)
	age := boottime.Now() - k.dateOf(ctx).at
	if t := youngest.Live; t != nil && youngest.KnownFor >= age {
		t.Stage = discovery.Gone
		return k.Targets.Announce(*t), k.spread(ctx, leaveParams{Target: *t})
	}
	if youngest.Live != nil || age > callerPatience {
		klog.InfoS("Departure was not recorded", "Target", target, "AgeMs", age.Milliseconds(),
			"Known", youngest.Live != nil, "KnownForMs", youngest.KnownFor.Milliseconds())
		return false, discovery.ErrLateDeparture
	}
	if changed, err = k.Targets.Leave(target, age); err != nil {
		return false, err
	}
	return changed, k.spread(ctx, leaveParams{Target: k.Targets.Record(target), Age: age})
}

// youngest returns the youngest incarnation of a target that is live at a keeper which
// answers.
func (k *Keeper) youngest(ctx context.Context, target id.Target) lookupResponse {
	out := k.lookup(target)
	for _, answer := range k.raftNode.AskOthers(ctx, lookupMethod, lookupParams{ID: target}, lookupTimeout) {
		var other lookupResponse
		if err := json.Unmarshal(answer, &other); err != nil {
			klog.InfoS("Answer of another keeper can't be read", "Target", target, "Error", err.Error())
			continue
		}
		out = out.younger(other)
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

// younger returns the response with the younger incarnation, or that of the keeper which
// has known it for longer.
func (r lookupResponse) younger(other lookupResponse) lookupResponse {
	switch {
	case other.Live == nil:
		return r
	case r.Live == nil || other.Live.Born > r.Live.Born:
		return other
	case other.Live.Born == r.Live.Born:
		r.KnownFor = max(r.KnownFor, other.KnownFor)
	}
	return r
}

func (k *Keeper) lookup(target id.Target) lookupResponse {
	t, knownFor, ok := k.Targets.Live(target)
	if !ok {
		return lookupResponse{}
	}
	return lookupResponse{Live: &t, KnownFor: knownFor}
}

// handleLookup returns the incarnation of a target that is live here.
func (k *Keeper) handleLookup(_ context.Context, params json.RawMessage) (any, error) {
	var in lookupParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	return k.lookup(in.ID), nil
}

// leaveParams tells a keeper that a target leaves.
type leaveParams struct {
	discovery.Target
	// Age is how long ago the target said so at most, in nanoseconds. Keepers need it if
	// the start time of the target is unknown. It is 0 from keepers of versions that did
	// not send it.
	Age time.Duration
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
func (k *Keeper) handleLeave(_ context.Context, params json.RawMessage) (any, error) {
	var in leaveParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	t, changed := in.Target, false
	switch {
	case t.Stage == discovery.Gone && t.Born == 0:
		// The other keeper knows no incarnation of the target.
		var err error
		if changed, err = k.Targets.Leave(t.ID, k.ageOfCall(in.Age)); err != nil {
			klog.InfoS("Departure was not recorded", "Target", t.ID, "Error", err.Error())
			return nil, rpc.NewError(rpc.CodeUnavailable, err.Error())
		}
	case t.Stage == discovery.Gone || t.Stage == discovery.Draining:
		changed = k.Targets.Announce(t)
	}
	if changed {
		klog.InfoS("Target leaves, as another keeper was told", "Target", t.ID, "Stage", t.Stage)
	}
	return struct{}{}, nil
}

// ageOfCall returns the age, at most, of what another keeper tells, if it had the given
// age when the call was sent. The call may have waited here while this process did not run.
func (k *Keeper) ageOfCall(age time.Duration) time.Duration {
	now := boottime.Now()
	return now - k.pauses.record(now, k.Machine.Position()).at + age
}
