// Package api defines the JSON-RPC methods of the keepers with their parameters
// and results.
package api

import (
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

// Method names.
const (
	MethodSubmit  = "Submit"
	MethodRenew   = "Renew"
	MethodConfirm = "Confirm"
	MethodPeers   = "Peers"
	MethodStatus  = "Status"
	MethodJoin    = "Join"
	MethodRaft    = "Raft"
)

// SubmitRequest asks for a change of the replicated state. The result is a
// ledger.Answer.
type SubmitRequest struct {
	Change ledger.Envelope
	// Forwarded is set by a keeper that forwards the call to the leader. A
	// forwarded call isn't forwarded again.
	Forwarded bool `json:",omitempty"`
}

// Report is the state of a target, which its agent sends with each renewal.
type Report struct {
	Phase view.Phase
	// Installed is the content that the target has loaded.
	Installed view.Assignment
	// Held is the content whose every chunk the agent holds.
	Held view.Assignment
	// Start is the target's start number.
	Start string
	// Reason is the cause of the latest change of the phase, or of a failure
	// since then.
	Reason string `json:",omitempty"`
	// InFlight is the number of requests in progress, and Limit the number of
	// concurrent requests that the target can handle at present.
	InFlight int
	Limit    int
}

// Subscriber is a process that renews its lease, with its state.
type Subscriber struct {
	// Name is unique among the processes with the same role.
	Name string
	Role string
	// Target and Session are set for agents only.
	Target  id.Target `json:",omitempty"`
	Session id.Fence  `json:",omitempty"`
	// Have is the version of the view that the process uses.
	Have id.Version
	// Report is set for agents only.
	Report *Report `json:",omitempty"`
}

// RenewRequest asks for confirmation that the view of a process is current, and
// for the changes that it lacks.
type RenewRequest struct {
	Subscriber
}

// RenewResponse confirms that Delta leads to a version that includes every change
// acknowledged before the renewal was sent.
type RenewResponse struct {
	Delta view.Delta
	// Unknown means that the session of the agent doesn't exist. The agent has
	// to announce its target again.
	Unknown bool `json:",omitempty"`
	// Replaced means that a newer session of the agent's target exists.
	Replaced bool `json:",omitempty"`
}

// ConfirmRequest is sent by a keeper to the leader on behalf of a batch of
// subscribers. It asks for a log index that covers every acknowledged change.
type ConfirmRequest struct {
	Subscribers []Subscriber
}

// ConfirmResponse is the result of ConfirmRequest.
type ConfirmResponse struct {
	Index uint64
}

// PeersRequest asks for the targets that hold or fetch the same content.
type PeersRequest struct {
	Manifest string
	// Target is the caller's own target, which the result omits.
	Target id.Target
}

// Peer is a target whose agent serves chunks at the address.
type Peer struct {
	Target  id.Target
	Domain  id.Domain
	Region  id.Region
	Address string
}

// PeersResponse is the result of PeersRequest.
type PeersResponse struct {
	Peers []Peer
}

// SubscriberState is the state of one process as the leader knows it.
type SubscriberState struct {
	Name   string
	Role   string
	Target id.Target `json:",omitempty"`
	Have   id.Version
	// SilentMilliseconds is the time since the last renewal.
	SilentMilliseconds int64
	Report             *Report `json:",omitempty"`
}

// StatusResponse contains the replicated state and the state of the processes
// as the leader knows it.
type StatusResponse struct {
	View        view.View
	Leader      string
	Members     []record.Member
	Subscribers []SubscriberState
	Claims      int
	// LeaseMilliseconds is the duration of a lease. A process that hasn't
	// renewed for this time no longer acts.
	LeaseMilliseconds int64
}

// JoinRequest asks for membership of a keeper under a new id.
type JoinRequest struct {
	Member record.Member
}

// JoinResponse is the result of JoinRequest.
type JoinResponse struct {
	// Members is the current membership.
	Members []record.Member
}
