// Package record defines the data that the Raft log stores and the messages
// that its members exchange.
package record

import (
	"slices"

	"egretproxy/internal/fleet/id"
)

// Kind is the type of an Entry.
type Kind uint8

// Kinds of entries.
const (
	// KindCommand holds a command of the state machine.
	KindCommand Kind = iota
	// KindMembership holds a CBOR-encoded Membership.
	KindMembership
	// KindNoop has no data. A leader appends one at the start of its term.
	KindNoop
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// Member is one keeper of the group.
type Member struct {
	ID id.Keeper
	// Name is the keeper's name in its settings. It persists when the disk is
	// lost, while ID changes.
	Name string
	// Address is the IP address and port of the keeper's RPC listener.
	Address string
	// Voter is false for a learner, which receives the log but neither
	// votes nor counts for a quorum.
	Voter bool
	// Generation orders the members of one name: each new one gets a higher
	// number than those it replaces. It is zero for the initial members, and in
	// logs of versions that did not store it.
	Generation uint64 `json:",omitempty"`
}

// Membership is the set of members of a group from one log entry on.
type Membership struct {
	// Members is sorted by ID.
	Members []Member
}

// Find returns the member with the given id.
func (m Membership) Find(k id.Keeper) (Member, bool) {
	for _, c := range m.Members {
		if c.ID == k {
			return c, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the keeper is a voting member.
func (m Membership) IsVoter(k id.Keeper) bool {
	c, ok := m.Find(k)
	return ok && c.Voter
}

// NextGeneration returns the generation of a new member of the given name.
func (m Membership) NextGeneration(name string) uint64 {
	next := uint64(1)
	for _, c := range m.Members {
		if c.Name == name {
			next = max(next, c.Generation+1)
		}
	}
	return next
}

// Voters returns the ids of all voting members.
func (m Membership) Voters() []id.Keeper {
	var out []id.Keeper
	for _, c := range m.Members {
		if c.Voter {
			out = append(out, c.ID)
		}
	}
	return out
}

// Quorum returns the number of voters in a majority.
func (m Membership) Quorum() int {
	return len(m.Voters())/2 + 1
}

// With returns a copy in which the member is added, or replaces the one with
// the same id.
func (m Membership) With(c Member) Membership {
	out := m.Without(c.ID)
	out.Members = append(out.Members, c)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	return out
}

// Without returns a copy without the member.
func (m Membership) Without(k id.Keeper) Membership {
	var out Membership
	for _, c := range m.Members {
		if c.ID != k {
			out.Members = append(out.Members, c)
		}
	}
	return out
}

// HardState is the state that a member persists besides its log.
type HardState struct {
	Term uint64
	// Vote is the candidate that received this member's vote in Term, or empty.
	Vote id.Keeper
}

// Snapshot is the state of the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the type of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	// PreVoteRequest asks whether the sender would get a vote, without
	// changing any term.
	PreVoteRequest MessageKind = iota
	// PreVoteResponse answers a PreVoteRequest.
	PreVoteResponse
	// VoteRequest asks for a vote.
	VoteRequest
	// VoteResponse answers a VoteRequest.
	VoteResponse
	// AppendRequest carries entries. Without any it is a heartbeat.
	AppendRequest
	// AppendResponse answers an AppendRequest or a SnapshotRequest.
	AppendResponse
	// SnapshotRequest carries a snapshot to a member whose next entry is
	// compacted.
	SnapshotRequest
)

// Message is a Raft message between two members.
type Message struct {
	Kind MessageKind
	From id.Keeper
	To   id.Keeper
	Term uint64
	// Index and LogTerm identify the last log entry of a candidate, or the
	// entry before Entries of an append. Index of an AppendResponse is the
	// highest acknowledged index or, with Reject, the previous index of the
	// leader's next attempt.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Round is the leader's heartbeat round. Responses repeat it.
	Round uint64
	// Address is the address at which the sender receives messages, so that a
	// member that does not know the membership yet can respond.
	Address string
	// Reject is set on a response that refuses the request.
	Reject   bool
	Snapshot *Snapshot
}
