// Package watch defines what keepers send to the processes that follow them.
package watch

import (
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
)

// Method is the call of followers. It answers at once if there is news,
// and otherwise after Watch.HoldMs.
const Method = "site.watch"

// Request tells what the follower holds.
type Request struct {
	// Name identifies the follower, Role is what it does.
	Name, Role string
	// Epoch is that of the keeper's last answer; another one makes Targets
	// void.
	Epoch string
	// Index is the position of the agreed state held, 0 for none.
	Index uint64
	// PlanIndex is the position of the plan held.
	PlanIndex uint64
	// Document asks for the plan if it is newer than PlanIndex. A follower
	// asks one keeper only, since plans are large.
	Document bool
	// Targets is the position of the targets held.
	Targets uint64
	// HoldMs is the longest wait for news in milliseconds.
	HoldMs int64
}

// Response is the answer to Watch.
type Response struct {
	// Epoch names the keeper's incarnation.
	Epoch string
	// Region is where the keeper is.
	Region id.Region
	// Confirmed tells that a quorum confirmed the state. Then ConfirmedMs
	// is when that confirmation began, in milliseconds after the call
	// arrived. It is negative for an earlier one.
	Confirmed   bool
	ConfirmedMs int64
	State       *State `json:",omitempty"`
	// Position and Targets are the announcements that changed.
	Position uint64
	Targets  []discovery.Target `json:",omitempty"`
	// Keepers is the addresses of all members.
	Keepers []string
	// Entries is the number of entries that follow this keeper.
	Entries int
}

// State is the agreed state of the site.
type State struct {
	Index     uint64
	PlanIndex uint64
	Version   plan.Version
	// Document is compressed. It is left out unless the follower asked for it.
	Document  []byte `json:",omitempty"`
	Withdrawn []id.Domain
	// Weights is the newest versions that were named, oldest first.
	Weights []WeightsVersion
}

// WeightsVersion is a version of weights and for how long the keeper has known it,
// in milliseconds.
type WeightsVersion struct {
	Model   id.Model
	Version int64
	AgeMs   int64
}
