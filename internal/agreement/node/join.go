package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
)

const (
	// catchUpEntries is the maximum lag, in log entries, at which a learner may
	// become a voter.
	catchUpEntries = 64
	// replaceVoterAfter is the time without a response after which a caught-up
	// learner replaces a voter. It is longer than a restart or a short freeze.
	replaceVoterAfter = 6 * time.Second
	// joinRequestLifetime is the time for which a join request is kept.
	joinRequestLifetime = 2 * time.Second
)

// join sends join requests to the known keepers while this one is not a member,
// or is a learner with a durable data directory.
func (n *Node) join(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	self := record.Member{ID: n.own.ID, Name: n.own.Name, Address: n.cfg.Address}
	var learned []string
	for {
		st := n.replica.Status()
		if mustRequest(st.Membership, n.own.ID, n.cfg.Durable) {
			learned = n.requestJoin(ctx, self, st, learned)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// mustRequest reports whether a keeper has to request its next membership step. It
// requests until the last step of its join, so that a change of the leader between
// two steps loses nothing.
func mustRequest(m record.Membership, own id.Keeper, durable bool) bool {
	_, isMember := m.Find(own)
	return !isMember || durable && !m.IsVoter(own)
}

// requestJoin sends a join request to each known keeper in the background. It
// returns the addresses of all keepers learned so far.
func (n *Node) requestJoin(ctx context.Context, self record.Member, st replica.Status, learned []string) []string {
	requested := map[string]bool{n.cfg.Address: true}
	addresses := append(n.cfg.Peers(), learned...)
	for _, m := range st.Membership.Members {
		addresses = append(addresses, m.Address)
	}
	for _, a := range addresses {
		if requested[a] {
			continue
		}
		requested[a] = true
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
			defer cancel()
			var out api.JoinResponse
			err := n.client(a).Call(callCtx, methodJoin, joinParams{Member: self, Durable: n.cfg.Durable}, &out)
			if err != nil {
				klog.V(1).InfoS("Failed to request membership from a keeper", "Keeper", a, "Error", err.Error())
				return
			}
			n.addPeers(out.Members)
		}()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	learned = learned[:0:0]
	for a := range n.clients {
		learned = append(learned, a)
	}
	return learned
}

// addPeers adds clients for the members that another keeper reported.
func (n *Node) addPeers(members []record.Member) {
	for _, m := range members {
		if m.Address != n.cfg.Address {
			n.client(m.Address)
		}
	}
}

// runMembershipChanges proposes the next step of a membership change every
// membershipInterval while this member leads.
func (n *Node) runMembershipChanges(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		st := n.replica.Status()
		if !st.IsLeader {
			continue
		}
		next, ok := n.nextMembership(st)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		if n.replica.ChangeMembership(callCtx, next) {
			klog.InfoS("Membership changes", "Members", len(next.Members), "Voters", len(next.Voters()))
		}
		cancel()
	}
}

// nextMembership returns the membership after the next step for any joiner, and
// deletes expired join requests. The second result is false when there is no
// step.
func (n *Node) nextMembership(st replica.Status) (record.Membership, bool) {
	n.mu.Lock()
	var joiners []joiner
	for k, j := range n.joiners {
		if time.Since(j.requestedAt) > joinRequestLifetime {
			delete(n.joiners, k)
			continue
		}
		joiners = append(joiners, j)
	}
	n.mu.Unlock()
	for _, j := range joiners {
		s := membershipState{members: st.Membership, matchIndexes: st.MatchIndexes, inactiveTicks: st.InactiveTicks, lastIndex: st.LastIndex, requiredVoters: n.cfg.Voters}
		if next, ok := s.next(j); ok {
			return next, true
		}
	}
	return record.Membership{}, false
}

// membershipState is the leader's knowledge of the members from which it decides
// on a step.
type membershipState struct {
	members        record.Membership
	matchIndexes   map[id.Keeper]uint64
	inactiveTicks  map[id.Keeper]int
	lastIndex      uint64
	requiredVoters int
}

// next returns the membership after the next step for a joiner. The second
// result is false when there is no step.
//
// An old member of the same name has lost its disk and is removed first: this
// does not make the quorum harder to reach, and no later step needs a vote of
// the lost member.
func (s membershipState) next(j joiner) (record.Membership, bool) {
	for _, old := range s.members.Members {
		if old.Name == j.Name && old.ID != j.ID {
			return s.members.Without(old.ID), true
		}
	}
	m, known := s.members.Find(j.ID)
	if !known {
		return s.members.With(j.Member), true
	}
	if m.Voter || !j.durable || !s.caughtUp(j.ID) {
		return record.Membership{}, false
	}
	if len(s.members.Voters()) < s.requiredVoters {
		m.Voter = true
		return s.members.With(m), true
	}
	for _, k := range s.members.Voters() {
		if time.Duration(s.inactiveTicks[k])*tick > replaceVoterAfter {
			return s.members.Without(k), true
		}
	}
	return record.Membership{}, false
}

// caughtUp reports whether a learner has responded recently and lags by at most
// catchUpEntries. A learner that never responded must not become a voter, since
// a quorum may then depend on it.
func (s membershipState) caughtUp(k id.Keeper) bool {
	match := s.matchIndexes[k]
	return match > 0 && match+catchUpEntries >= s.lastIndex && time.Duration(s.inactiveTicks[k])*tick < forwardTimeout
}
