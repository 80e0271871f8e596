// Package watch defines the messages between keepers and the processes that
// watch them.
package watch

import (
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/quarantine"
)

// Method is the name of the watch call. It returns at once if there are
// changes, and otherwise after Request.HoldMs.
const Method = "site.watch"

// Request describes the state that the watcher holds.
type Request struct {
	// Name identifies the watcher, Role is its role.
	Name, Role string
	// Epoch is that of the keeper's last response. Targets is ignored if the
	// keeper's epoch differs.
	Epoch string
	// Index is the log position of the state held, 0 for none.
	Index uint64
	// PlanIndex is the log position of the plan held.
	PlanIndex uint64
	// Document requests the plan if it is newer than PlanIndex. A watcher
	// requests it from one keeper only, since plans are large.
	Document bool
	// Targets is the position of the targets held.
	Targets uint64
	// Unconfirmed means that the watcher has no recent confirmation and can't
	// wait for one until its hold is over.
	Unconfirmed bool `json:",omitempty"`
	// Suspects is the position of the suspects held. It is ignored if the
	// keeper's epoch differs.
	Suspects uint64 `json:",omitempty"`
	// Mirror is the address at which the watcher mirrors weights for Region. It
	// is empty if the watcher doesn't.
	Mirror string    `json:",omitempty"`
	Region id.Region `json:",omitempty"`
	// Demand is the number of requests per second that come to the watcher for
	// services whose targets limit them.
	Demand map[id.Service]float64 `json:",omitempty"`
	// HoldMs is the longest wait for changes in milliseconds.
	HoldMs int64
}

// Response is the result of Method.
type Response struct {
	// Epoch identifies the keeper's incarnation.
	Epoch string
	// Region is the keeper's region.
	Region id.Region
	// Confirmed means that a quorum confirmed the state. ConfirmedMs is then
	// the start of that confirmation in milliseconds after the arrival of the
	// call, negative if it began earlier.
	Confirmed   bool
	ConfirmedMs int64
	// HeldMs is the time from the arrival of the call to this response, in
	// milliseconds. The ages in State are those at its end: the watcher may read
	// the response much later.
	HeldMs int64  `json:",omitempty"`
	State  *State `json:",omitempty"`
	// Position is the newest position of the targets, Targets holds those
	// changed.
	Position uint64
	Targets  []discovery.Target `json:",omitempty"`
	// SuspectsAt is the newest position of the parts of prompts and the
	// requests that are suspected to end targets, Suspects all of them if the position held was
	// another one.
	SuspectsAt uint64             `json:",omitempty"`
	Suspects   []evidence.Suspect `json:",omitempty"`
	// Demand is the sum of Request.Demand over all active watchers.
	Demand map[id.Service]float64 `json:",omitempty"`
	// Keepers holds the addresses of all members.
	Keepers []string
	// Mirrors holds the region of each further process that mirrors weights, by
	// address. Entries don't need it.
	Mirrors map[string]id.Region `json:",omitempty"`
	// Referral means that the process that answers is not a keeper. Only Region
	// and Keepers are set.
	Referral bool `json:",omitempty"`
	// Entries is the number of entries that watch this keeper.
	Entries int
}

// State is the replicated state of the site.
type State struct {
	Index     uint64
	PlanIndex uint64
	Version   plan.Version
	// Document is compressed. It is omitted unless requested.
	Document  []byte `json:",omitempty"`
	Withdrawn []id.Domain
	// Weights holds the newest published versions, oldest first.
	Weights []WeightsVersion
	// Quarantine holds the verdicts on parts of prompts and on requests.
	Quarantine []Verdict `json:",omitempty"`
}

// Verdict is a verdict, with the time since its last change in milliseconds when
// the response was built.
type Verdict struct {
	quarantine.Verdict
	AgeMs int64
}

// WeightsVersion is a version of weights. AgeMs is how long the keeper had known
// it when the response was built, in milliseconds.
type WeightsVersion struct {
	Model   id.Model
	Version int64
	AgeMs   int64
}
