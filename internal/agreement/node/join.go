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
	// catchUpEntries is the lag at which a learner becomes a voter.
	catchUpEntries = 64
	// replaceVoterAfter is the silence after which a caught-up learner takes a
	// voter's place. Restarts and short freezes end sooner.
	replaceVoterAfter = 6 * time.Second
	// joinRequestLifetime is how long a request to join is kept.
	joinRequestLifetime = 2 * time.Second
)

// join asks the keepers that are known for membership, for as long as this
// one is not a member, or is a learner that should vote.
func (s *Node) join(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	self := record.Member{ID: s.own.ID, Name: s.own.Name, Address: s.cfg.Address}
	var learnt []string
	for {
		st := s.replica.Status()
		if _, member := st.Membership.Find(s.own.ID); !member || !st.Membership.IsVoter(s.own.ID) && s.cfg.Durable {
			learnt = s.requestJoin(ctx, self, st, learnt)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// requestJoin asks each known keeper once and returns the addresses learnt.
func (s *Node) requestJoin(ctx context.Context, self record.Member, st replica.Status, learnt []string) []string {
	asked := map[string]bool{s.cfg.Address: true}
	addresses := append(s.cfg.Peers(), learnt...)
	for _, m := range st.Membership.Members {
		addresses = append(addresses, m.Address)
	}
	for _, a := range addresses {
		if asked[a] {
			continue
		}
		asked[a] = true
		go func() {
			call, cancel := context.WithTimeout(ctx, forwardTimeout)
			defer cancel()
			var out api.JoinResponse
			err := s.client(a).Call(call, methodJoin, joinParams{Member: self, Durable: s.cfg.Durable}, &out)
			if err != nil {
				klog.V(1).InfoS("Keeper did not take a request to join", "Keeper", a, "Error", err.Error())
				return
			}
			s.addPeers(out.Members)
		}()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	learnt = learnt[:0:0]
	for a := range s.clients {
		learnt = append(learnt, a)
	}
	return learnt
}

// addPeers remembers the keepers that another one knows.
func (s *Node) addPeers(members []record.Member) {
	for _, m := range members {
		if m.Address != s.cfg.Address {
			s.client(m.Address)
		}
	}
}

// runMembershipChanges takes the next step of a membership change while this member
// leads.
func (s *Node) runMembershipChanges(ctx context.Context) error {
	ticker := time.NewTicker(admitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		st := s.replica.Status()
		if !st.IsLeader {
			continue
		}
		next, ok := s.nextMembership(st)
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, forwardTimeout)
		if s.replica.ChangeMembership(call, next) {
			klog.InfoS("Membership changes", "Members", len(next.Members), "Voters", len(next.Voters()))
		}
		cancel()
	}
}

func (s *Node) nextMembership(st replica.Status) (record.Membership, bool) {
	s.mu.Lock()
	var asking []joiner
	for k, j := range s.joiners {
		if time.Since(j.requestedAt) > joinRequestLifetime {
			delete(s.joiners, k)
			continue
		}
		asking = append(asking, j)
	}
	s.mu.Unlock()
	for _, j := range asking {
		c := membershipState{members: st.Membership, match: st.MatchIndexes, silent: st.InactiveTicks, last: st.LastIndex, voters: s.cfg.Voters}
		if next, ok := c.next(j); ok {
			return next, true
		}
	}
	return record.Membership{}, false
}

// membershipState is what a leader knows when it decides on a step.
type membershipState struct {
	members record.Membership
	match   map[id.Keeper]uint64
	silent  map[id.Keeper]int
	last    uint64
	voters  int
}

// next returns the membership after the next step for a joiner. ok is false
// when there is none.
//
// A member of the same name lost its disk and is removed first: the quorum
// is then no harder to reach, and no step needs the lost one.
func (c membershipState) next(j joiner) (record.Membership, bool) {
	for _, old := range c.members.Members {
		if old.Name == j.Name && old.ID != j.ID {
			return c.members.Without(old.ID), true
		}
	}
	m, known := c.members.Find(j.ID)
	if !known {
		return c.members.With(j.Member), true
	}
	if m.Voter || !j.durable || !c.caughtUp(j.ID) {
		return record.Membership{}, false
	}
	if len(c.members.Voters()) < c.voters {
		m.Voter = true
		return c.members.With(m), true
	}
	for _, k := range c.members.Voters() {
		if time.Duration(c.silent[k])*tick > replaceVoterAfter {
			return c.members.Without(k), true
		}
	}
	return record.Membership{}, false
}

// caughtUp reports whether a learner has answered and lacks little. One that
// never answered must not become a voter, since a quorum may then need it.
func (c membershipState) caughtUp(k id.Keeper) bool {
	match := c.match[k]
	return match > 0 && match+catchUpEntries >= c.last && time.Duration(c.silent[k])*tick < forwardTimeout
}
