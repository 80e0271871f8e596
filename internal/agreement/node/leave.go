package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/rpc"
)

const (
	// leaveTimeout limits the time for which a stopping keeper waits for its
	// successor.
	leaveTimeout = 2500 * time.Millisecond
	// leaveInterval is the time between two requests to leave.
	leaveInterval = 50 * time.Millisecond
	// successorTimeout is how long a stopping keeper asks for a successor. A
	// leader learns of learners from join requests, which they repeat.
	successorTimeout = 2 * joinInterval
)

type leaveParams struct{ ID id.Keeper }

// leaveResponse is the leader's answer to a member that leaves.
type leaveResponse struct {
	// HasSuccessor means that a learner is about to take over the vote.
	HasSuccessor bool
	// Removed means that the group no longer needs the member's vote.
	Removed bool
}

// leave asks the leader to pass this member's vote to a learner, and returns once
// that is done, or without effect if there is no learner. The group then needs no
// vote of this keeper after it has stopped. A keeper that restarts joins again.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	began := time.Now()
	hasSuccessor := false
	for ctx.Err() == nil && (hasSuccessor || time.Since(began) < successorTimeout) {
		response, err := n.requestLeave(ctx)
		if err == nil && response.Removed {
			klog.InfoS("Keeper stops without a vote in the group", "Member", n.own.ID, "AfterMs", time.Since(began).Milliseconds())
			return
		}
		if err == nil {
			hasSuccessor = response.HasSuccessor
		}
		select {
		case <-ctx.Done():
		case <-n.stopped():
			return
		case <-time.After(leaveInterval):
		}
	}
	klog.InfoS("Keeper stops as a voter of the group", "Member", n.own.ID, "HasSuccessor", hasSuccessor)
}

// requestLeave sends one request to leave to the leader.
func (n *Node) requestLeave(ctx context.Context) (leaveResponse, error) {
	st := n.Status()
	if !st.Membership.IsVoter(n.own.ID) && !st.IsLeader {
		return leaveResponse{Removed: true}, nil
	}
	if st.IsLeader {
		return n.recordLeave(n.own.ID), nil
	}
	leader, known := st.Membership.Find(st.Leader)
	if !known {
		return leaveResponse{}, errors.New("no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	var out leaveResponse
	err := n.client(leader.Address).Call(ctx, methodLeave, leaveParams{ID: n.own.ID}, &out)
	return out, err
}

// recordLeave records the request of a member that leaves.
func (n *Node) recordLeave(k id.Keeper) leaveResponse {
	n.mu.Lock()
	n.leavers[k] = time.Now()
	n.mu.Unlock()
	st := n.Status()
	next, ok := n.nextMembership(st)
	_, isMember := st.Membership.Find(k)
	return leaveResponse{
		HasSuccessor: ok && len(next.Voters()) != len(st.Membership.Voters()) || len(st.Membership.Voters()) > n.cfg.Voters,
		Removed:      !isMember && st.Commit == st.LastIndex,
	}
}

func (n *Node) handleLeave(_ context.Context, params json.RawMessage) (any, error) {
	var in leaveParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if !n.Status().IsLeader {
		return nil, rpc.NewError(rpc.CodeNotLeader, "this keeper does not lead")
	}
	return n.recordLeave(in.ID), nil
}
