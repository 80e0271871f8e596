// Package api defines the calls that keepers answer.
package api

import (
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

// Methods of the keepers.
const (
	MethodSubmit  = "Submit"
	MethodRenew   = "Renew"
	MethodConfirm = "Confirm"
	MethodPeers   = "Peers"
	MethodStatus  = "Status"
	MethodJoin    = "Join"
	MethodRaft    = "Raft"
)

// Submit asks for a change of the agreed state. The answer is a
// ledger.Answer.
type Submit struct {
	Change ledger.Envelope
	// Forwarded is set by a keeper that passes the call on, which happens
	// once at most.
	Forwarded bool `json:",omitempty"`
}

// Report is what an agent tells about its target with each renewal.
type Report struct {
	Phase     view.Phase
	Installed view.Assignment
	// Held is the content whose every chunk the agent holds.
	Held   view.Assignment
	Start  string
	Reason string `json:",omitempty"`
	// InFlight and Limit are the requests in progress and those borne.
	InFlight int
	Limit    int
}

// Subscriber names a process that renews.
type Subscriber struct {
	// Name is unique among the processes of one role.
	Name string
	Role string
	// Target and Session are set for agents only.
	Target  id.Target `json:",omitempty"`
	Session id.Fence  `json:",omitempty"`
	// Have is the version that the process acts on.
	Have id.Version
	// Report is set for agents only.
	Report *Report `json:",omitempty"`
}

// Renew asks for confirmation of what a process believes.
type Renew struct {
	Subscriber
}

// Renewed confirms that Delta leads to a version that includes every change
// acknowledged before the renewal was sent.
type Renewed struct {
	Delta view.Delta
	// Unknown tells an agent to announce its target again.
	Unknown bool `json:",omitempty"`
	// Replaced tells an agent that a newer session of its target exists.
	Replaced bool `json:",omitempty"`
}

// Confirm asks the leader, on behalf of a batch of subscribers, for a
// position that includes every acknowledged change.
type Confirm struct {
	Subscribers []Subscriber
}

// Confirmed answers Confirm.
type Confirmed struct {
	Index uint64
}

// Peers asks for targets that hold or fetch the same content.
type Peers struct {
	Manifest string
	// Target is the caller's own target, which is left out.
	Target id.Target
}

// Peer is one source of chunks.
type Peer struct {
	Target  id.Target
	Domain  id.Domain
	Region  id.Region
	Address string
}

// PeerList answers Peers.
type PeerList struct {
	Peers []Peer
}

// SubscriberState is what the leader knows of one process.
type SubscriberState struct {
	Name   string
	Role   string
	Target id.Target `json:",omitempty"`
	Have   id.Version
	// SilentMilliseconds is the time since the last renewal.
	SilentMilliseconds int64
	Report             *Report `json:",omitempty"`
}

// Status is the agreed state and what the leader knows of the processes.
type Status struct {
	View        view.View
	Leader      string
	Members     []record.Member
	Subscribers []SubscriberState
	Claims      int
	// LeaseMilliseconds is the time after which a silent process acts no
	// longer.
	LeaseMilliseconds int64
}

// Join asks to become a member under a new id.
type Join struct {
	Member record.Member
}

// Joined answers Join.
type Joined struct {
	// Members is the present membership.
	Members []record.Member
}
