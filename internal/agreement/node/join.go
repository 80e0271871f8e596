package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	// defaultReplaceAfter is the default of Config.ReplaceAfter.
	defaultReplaceAfter = 2 * time.Second
	// joinRequestLifetime is the time for which a join request is kept.
	joinRequestLifetime = 2 * time.Second
)

// join sends join requests to the known keepers while this one is not a member,
// is a learner with a durable data directory, or knows no leader.
func (n *Node) join(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	self := record.Member{ID: n.own.ID, Name: n.own.Name, Address: n.cfg.Address}
	var learned []string
	for {
		st := n.replica.Status()
		if mustRequest(st, n.own.ID, n.cfg.Durable) {
			learned = n.requestJoin(ctx, self, st, learned)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-n.stopping:
			return nil
		case <-ticker.C:
		}
	}
}

// mustRequest reports whether a keeper has to request its next membership step. It
// requests until the last step of its join, so that a change of the leader between
// two steps loses nothing. A voter that was replaced while it was silent still
// holds the old membership and hears from no leader, so it requests as well.
func mustRequest(st replica.Status, own id.Keeper, durable bool) bool {
	_, isMember := st.Membership.Find(own)
	return !isMember || durable && !st.Membership.IsVoter(own) || st.Leader == ""
}

// requestJoin sends a join request to each known keeper in the background. It
// returns the addresses of all keepers learned so far.
func (n *Node) requestJoin(ctx context.Context, self record.Member, st replica.Status, learned []string) []string {
	requested := map[string]bool{n.cfg.Address: true}
	addresses := slices.Concat(n.cfg.Peers(), learned)
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

// runMembershipChanges proposes the steps of membership changes while this member
// leads. It checks for a first step every membershipInterval. Further steps follow
// as soon as the one before is applied, since the group may tolerate fewer losses
// between two steps.
func (n *Node) runMembershipChanges(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for n.changeMembership(ctx) {
		}
	}
}

// changeMembership proposes one step of a membership change, if this member leads
// and there is one. It reports whether the step was applied.
func (n *Node) changeMembership(ctx context.Context) bool {
	st := n.replica.Status()
	if !st.IsLeader {
		return false
	}
	next, ok := n.nextMembership(st)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if !n.replica.ChangeMembership(ctx, next) {
		return false
	}
	klog.InfoS("Membership changes", "From", describeMembers(st.Membership), "To", describeMembers(next))
	return n.replica.WaitApplied(ctx, st.LastIndex+1) == nil
}

// describeMembers returns the addresses of the voters and the learners for a log
// line.
func describeMembers(m record.Membership) string {
	var voters, learners []string
	for _, c := range m.Members {
		if c.Voter {
			voters = append(voters, c.Address)
			continue
		}
		learners = append(learners, c.Address)
	}
	return fmt.Sprintf("voters %s, learners %s", strings.Join(voters, " "), strings.Join(learners, " "))
}

// nextMembership returns the membership after the next step, and deletes expired
// requests. The second result is false when there is no step.
func (n *Node) nextMembership(st replica.Status) (record.Membership, bool) {
	s := membershipState{
		members: st.Membership, matchIndexes: st.MatchIndexes, inactiveTicks: st.InactiveTicks, lastIndex: st.LastIndex,
		requiredVoters: n.cfg.Voters, replaceAfter: n.cfg.replaceAfter(), leavers: map[id.Keeper]bool{},
	}
	n.mu.Lock()
	for k, at := range n.leavers {
		if time.Since(at) > joinRequestLifetime {
			delete(n.leavers, k)
			continue
		}
		s.leavers[k] = true
	}
	for k, j := range n.joiners {
		if time.Since(j.requestedAt) > joinRequestLifetime {
			delete(n.joiners, k)
			continue
		}
		if !s.leavers[j.ID] {
			s.joiners = append(s.joiners, j)
		}
	}
	n.mu.Unlock()
	return s.next()
}

// membershipState is the leader's knowledge of the members from which it decides
// on a step.
type membershipState struct {
	members        record.Membership
	matchIndexes   map[id.Keeper]uint64
	inactiveTicks  map[id.Keeper]int
	lastIndex      uint64
	requiredVoters int
	// replaceAfter is the silence after which a learner replaces a voter.
	replaceAfter time.Duration
	joiners      []joiner
	// leavers holds the members that are about to stop as planned.
	leavers map[id.Keeper]bool
}

// next returns the membership after the next step. The second result is false when
// there is no step.
func (s membershipState) next() (record.Membership, bool) {
	if k, ok := s.dispensable(); ok {
		return s.members.Without(k), true
	}
	for _, j := range s.joiners {
		if next, ok := s.nextOf(j); ok {
			return next, true
		}
	}
	return record.Membership{}, false
}

// dispensable returns a voter beyond the required number that leaves or no longer
// responds.
func (s membershipState) dispensable() (id.Keeper, bool) {
	if len(s.members.Voters()) <= s.requiredVoters {
		return "", false
	}
	if k, ok := s.leavingVoter(); ok {
		return k, true
	}
	return s.silentVoter()
}

// nextOf returns the membership after the next step for a joiner. The second
// result is false when there is no step.
//
// An old member of the same name has lost its disk and is removed first: this
// does not make the quorum harder to reach, and no later step needs a vote of
// the lost member. The same holds for a silent voter. A voter that leaves still
// votes, so its successor becomes a voter first: the group then tolerates as many
// losses at each step as before.
func (s membershipState) nextOf(j joiner) (record.Membership, bool) {
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
	m.Voter = true
	if len(s.members.Voters()) < s.requiredVoters {
		return s.members.With(m), true
	}
	if k, ok := s.silentVoter(); ok {
		return s.members.Without(k), true
	}
	if _, ok := s.leavingVoter(); ok {
		return s.members.With(m), true
	}
	return record.Membership{}, false
}

func (s membershipState) silentVoter() (id.Keeper, bool) {
	for _, k := range s.members.Voters() {
		if time.Duration(s.inactiveTicks[k])*tick > s.replaceAfter {
			return k, true
		}
	}
	return "", false
}

func (s membershipState) leavingVoter() (id.Keeper, bool) {
	for _, k := range s.members.Voters() {
		if s.leavers[k] {
			return k, true
		}
	}
	return "", false
}

// caughtUp reports whether a learner has responded recently and lags by at most
// catchUpEntries. A learner that never responded must not become a voter, since
// a quorum may then depend on it.
func (s membershipState) caughtUp(k id.Keeper) bool {
	match := s.matchIndexes[k]
	return match > 0 && match+catchUpEntries >= s.lastIndex && time.Duration(s.inactiveTicks[k])*tick < forwardTimeout
}
