// Package view defines the part of the replicated state that entries, agents and
// operators see: bundles, failure domains, targets, the rollout and the policy.
// It also computes and applies deltas between two versions.
package view

import (
	"egretproxy/internal/fleet/id"
)

// maxDeltaTargets is the number of changed targets after which a delta ends. The
// holder gets the rest with its next renewals.
const maxDeltaTargets = 128

// Author identifies the latest change to an object: the operator, the request
// and the kind of change.
type Author struct {
	Operator id.Operator
	Request  id.Request
	What     string
	Version  id.Version
}

// BundleState is the state of a bundle in its lifecycle.
type BundleState string

// States of a bundle.
const (
	BundleDraft      BundleState = "Draft"
	BundleApproved   BundleState = "Approved"
	BundleRolling    BundleState = "Rolling"
	BundleHalted     BundleState = "Halted"
	BundleInForce    BundleState = "InForce"
	BundleSuperseded BundleState = "Superseded"
)

// ModelSpec defines the weights of a model in a bundle and the number of targets
// that serve it.
type ModelSpec struct {
	Name id.Model
	// Replicas is the number of targets. Zero means a share of the targets
	// that remain.
	Replicas int
	// Manifest is the hex BLAKE3 digest of the model's manifest.
	Manifest string
	// Adapters lists the adapters in the manifest that the model serves.
	Adapters []string
}

// Bundle is an immutable set of models and its lifecycle state.
type Bundle struct {
	ID     id.Bundle
	Models []ModelSpec
	State  BundleState
	// Reason is the reason why the bundle is halted.
	Reason  string
	Author  Author
	Changed id.Version
}

// Model returns the bundle's specification of a model.
func (b Bundle) Model(m id.Model) (ModelSpec, bool) {
	for _, s := range b.Models {
		if s.Name == m {
			return s, true
		}
	}
	return ModelSpec{}, false
}

// DomainState states whether a failure domain may receive new work.
type DomainState string

// States of a failure domain.
const (
	DomainInService DomainState = "InService"
	DomainWithdrawn DomainState = "Withdrawn"
)

// Domain is a failure domain.
type Domain struct {
	ID      id.Domain
	Region  id.Region
	State   DomainState
	Author  Author
	Changed id.Version
}

// TargetKind distinguishes engines from plain services.
type TargetKind string

// Kinds of targets.
const (
	TargetEngine  TargetKind = "Engine"
	TargetService TargetKind = "Service"
)

// Phase is the phase of a target in its lifecycle.
type Phase string

// Phases of a target.
const (
	PhaseEmpty    Phase = "Empty"
	PhaseDraining Phase = "Draining"
	PhaseLoading  Phase = "Loading"
	PhaseWarming  Phase = "Warming"
	PhaseServing  Phase = "Serving"
	PhaseFailed   Phase = "Failed"
	PhaseLeaving  Phase = "Leaving"
)

// Assignment is the content that a target serves or must serve.
type Assignment struct {
	Bundle   id.Bundle
	Model    id.Model
	Manifest string
	// Fence is the log position of the order.
	Fence id.Fence
}

// SameContent reports whether two assignments have the same content, whatever
// their fences.
func (a Assignment) SameContent(b Assignment) bool {
	return a.Bundle == b.Bundle && a.Model == b.Model && a.Manifest == b.Manifest
}

// Target is an announced target.
type Target struct {
	ID id.Target
	// Session is the log position of the announcement. A larger session
	// replaces a smaller one.
	Session id.Fence
	Kind    TargetKind
	Service id.Service
	Domain  id.Domain
	Region  id.Region
	// Address is the IP address and port of the target's agent.
	Address string
	// Start identifies the target's process. It changes with each restart.
	Start string
	// Slots is the number of concurrent requests that the warm target can
	// handle.
	Slots int
	// Takeover reports that an older session may still act until its lease
	// expires.
	Takeover bool
	// Staged is the content to fetch before the target is ordered to serve it.
	Staged Assignment
	// Assigned is the content that the target is ordered to serve.
	Assigned Assignment
	// Installed is the content that the target reports to serve.
	Installed Assignment
	Phase     Phase
	Reason    string
	Changed   id.Version
}

// Rollout is the state of the rollout: Current is the bundle in force, Next the
// one that is being rolled out. Either may be empty.
type Rollout struct {
	Current id.Bundle
	Next    id.Bundle
	Halted  bool
	Reason  string
	Author  Author
	Changed id.Version
}

// Limits is the share and the limits of one organisation.
type Limits struct {
	// Weight is the organisation's relative share of contended capacity.
	Weight int
	// Concurrent is the maximum number of concurrent requests at one entry.
	// Zero means no limit.
	Concurrent int
	// Priority is forwarded to engines. A larger value is more urgent.
	Priority int
}

// Policy is the configuration that operators apply to all entries.
type Policy struct {
	Organisations map[id.Organisation]Limits
	// Routing is the name of the routing policy.
	Routing string
	Author  Author
	Changed id.Version
}

// TargetChange records that a target was changed or removed.
type TargetChange struct {
	Target  id.Target
	Version id.Version
}

// View is one version of the state. Copies share its maps, so holders must not
// modify them.
type View struct {
	// Version is the log position that the view has reached.
	Version id.Version
	// Newest is the log position of the latest change to any object below. It
	// never exceeds Version.
	Newest  id.Version
	Bundles map[id.Bundle]Bundle
	Domains map[id.Domain]Domain
	Targets map[id.Target]Target
	Rollout Rollout
	Policy  Policy
	// Recent lists the latest target changes, sorted by version. Its length is
	// bounded. Holders of a version before Floor get the full view.
	Recent []TargetChange
	Floor  id.Version
}

// InService reports whether a failure domain may receive new work. A domain
// without a recorded state is in service.
func (v *View) InService(d id.Domain) bool {
	return v.Domains[d].State != DomainWithdrawn
}
