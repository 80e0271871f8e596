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

// SubmitRequest asks for a change of the agreed state. The answer is a
// ledger.Answer.
type SubmitRequest struct {
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

// RenewRequest asks for confirmation of what a process believes.
type RenewRequest struct {
	Subscriber
}

// RenewResponse confirms that Delta leads to a version that includes every change
// acknowledged before the renewal was sent.
type RenewResponse struct {
	Delta view.Delta
	// Unknown tells an agent to announce its target again.
	Unknown bool `json:",omitempty"`
	// Replaced tells an agent that a newer session of its target exists.
	Replaced bool `json:",omitempty"`
}

// ConfirmRequest asks the leader, on behalf of a batch of subscribers, for a
// position that includes every acknowledged change.
type ConfirmRequest struct {
	Subscribers []Subscriber
}

// ConfirmResponse answers Confirm.
type ConfirmResponse struct {
	Index uint64
}

// PeersRequest asks for targets that hold or fetch the same content.
type PeersRequest struct {
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

// PeersResponse answers Peers.
type PeersResponse struct {
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

// StatusResponse is the agreed state and what the leader knows of the processes.
type StatusResponse struct {
	View        view.View
	Leader      string
	Members     []record.Member
	Subscribers []SubscriberState
	Claims      int
	// LeaseMilliseconds is the time after which a silent process acts no
	// longer.
	LeaseMilliseconds int64
}

// JoinRequest asks to become a member under a new id.
type JoinRequest struct {
	Member record.Member
}

// JoinResponse answers Join.
type JoinResponse struct {
	// Members is the present membership.
	Members []record.Member
}
