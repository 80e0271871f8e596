// Package record defines the data that the agreed log stores and that its
// members exchange.
package record

import (
	"slices"

	"egretproxy/internal/fleet/id"
)

// Kind tells what an Entry carries.
type Kind uint8

// Kinds of entries.
const (
	// KindCommand carries a command of the state machine.
	KindCommand Kind = iota
	// KindMembership carries a CBOR-encoded Membership.
	KindMembership
	// KindNoop carries nothing. A leader appends one at the start of its term.
	KindNoop
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// Member is one keeper of the group.
type Member struct {
	ID id.Keeper
	// Name is the keeper's name in its settings. It stays when the disk is
	// lost, while ID changes.
	Name string
	// Address is the IP address and port of the keeper's RPC listener.
	Address string
	// Voter is false for a learner, which receives the log but neither
	// votes nor counts for a quorum.
	Voter bool
}

// Membership is the set of members at one position of the log.
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

// IsVoter reports whether the keeper counts for a quorum.
func (m Membership) IsVoter(k id.Keeper) bool {
	c, ok := m.Find(k)
	return ok && c.Voter
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

// Quorum returns the number of voters that decide.
func (m Membership) Quorum() int {
	return len(m.Voters())/2 + 1
}

// With returns a copy in which the member is added or replaced.
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

// Without returns a copy that lacks the member.
func (m Membership) Without(k id.Keeper) Membership {
	var out Membership
	for _, c := range m.Members {
		if c.ID != k {
			out.Members = append(out.Members, c)
		}
	}
	return out
}

// HardState is what a member must remember over a restart besides its log.
type HardState struct {
	Term uint64
	// Vote is the candidate that got this member's vote in Term, or empty.
	Vote id.Keeper
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	// PreVoteRequest asks whether a candidate would win without changing
	// any term.
	PreVoteRequest MessageKind = iota
	// PreVoteResponse answers a PreVoteRequest.
	PreVoteResponse
	// VoteRequest asks for a vote.
	VoteRequest
	// VoteResponse answers a VoteRequest.
	VoteResponse
	// AppendRequest carries entries and serves as a heartbeat.
	AppendRequest
	// AppendResponse answers an AppendRequest or a SnapshotRequest.
	AppendResponse
	// SnapshotRequest carries a snapshot to a member that is too far behind.
	SnapshotRequest
)

// Message travels between two members.
type Message struct {
	Kind MessageKind
	From id.Keeper
	To   id.Keeper
	Term uint64
	// Index and LogTerm are the last log position of a candidate, the
	// position before Entries of an append, or the position that an answer
	// acknowledges.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Round numbers a leader's heartbeat rounds. Answers repeat it.
	Round uint64
	// Address is where the sender listens, so that a member that does not
	// know the membership yet can answer.
	Address string
	// Reject is set on an answer that refuses.
	Reject   bool
	Snapshot *Snapshot
}
