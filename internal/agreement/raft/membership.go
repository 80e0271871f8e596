package raft

import (
	"github.com/fxamacker/cbor/v2"

	"egretproxy/internal/agreement/record"
)

// memberships is the stack of memberships in the log, oldest first. A
// membership is in use as soon as it is appended, before it is committed.
type memberships struct {
	indexes []uint64
	values  []record.Membership
}

func (m *memberships) reset(index uint64, v record.Membership) {
	m.indexes = []uint64{index}
	m.values = []record.Membership{v}
}

func (m *memberships) push(index uint64, v record.Membership) {
	m.indexes = append(m.indexes, index)
	m.values = append(m.values, v)
}

func (m *memberships) current() record.Membership {
	if len(m.values) == 0 {
		return record.Membership{}
	}
	return m.values[len(m.values)-1]
}

func (m *memberships) lastIndex() uint64 {
	if len(m.indexes) == 0 {
		return 0
	}
	return m.indexes[len(m.indexes)-1]
}

// truncate drops the memberships from index on.
func (m *memberships) truncate(index uint64) {
	for len(m.indexes) > 0 && m.lastIndex() >= index {
		m.indexes = m.indexes[:len(m.indexes)-1]
		m.values = m.values[:len(m.values)-1]
	}
}

// compact drops all but the newest membership at or before index.
func (m *memberships) compact(index uint64) {
	for len(m.indexes) > 1 && m.indexes[1] <= index {
		m.indexes = m.indexes[1:]
		m.values = m.values[1:]
	}
}

// at returns the membership in use at index.
func (m *memberships) at(index uint64) record.Membership {
	var out record.Membership
	for i, v := range m.values {
		if m.indexes[i] <= index {
			out = v
		}
	}
	return out
}

// MembershipAt returns the membership in use at a log index.
func (n *Node) MembershipAt(index uint64) record.Membership {
	return n.members.at(index)
}

// countDifferences returns the number of members that were added, removed or
// changed from a to b.
func countDifferences(a, b record.Membership) int {
	count := 0
	for _, c := range a.Members {
		if o, ok := b.Find(c.ID); !ok || o != c {
			count++
		}
	}
	for _, c := range b.Members {
		if _, ok := a.Find(c.ID); !ok {
			count++
		}
	}
	return count
}

func encodeMembership(m record.Membership) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic("raft: encode membership: " + err.Error())
	}
	return data
}

func decodeMembership(data []byte) record.Membership {
	var m record.Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		panic("raft: decode membership: " + err.Error())
	}
	return m
}

// TermAt returns the term of the entry at a log index, or zero if the log
// does not hold it.
func (n *Node) TermAt(index uint64) uint64 {
	return n.log.term(index)
}
