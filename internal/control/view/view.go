// Package view is the part of the agreed state that entries, agents and
// operators see: bundles, failure domains, targets, the rollout and the
// policy, with the differences between two versions of it.
package view

import (
	"egretproxy/internal/fleet/id"
)

// maxDeltaTargets is the number of changed targets after which a difference ends.
// The holder asks for the rest with its next renewal.
const maxDeltaTargets = 128

// Author tells who made the newest change to an object, and by what.
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

// ModelSpec says which weights a bundle gives to a model and on how many
// targets.
type ModelSpec struct {
	Name id.Model
	// Replicas is the number of targets, or zero for all that remain.
	Replicas int
	// Manifest is the hex BLAKE3 digest of the model's manifest.
	Manifest string
	// Adapters names the adapters in the manifest that the model serves.
	Adapters []string
}

// Bundle is an immutable set of models with its state.
type Bundle struct {
	ID     id.Bundle
	Models []ModelSpec
	State  BundleState
	// Reason says why a bundle is halted.
	Reason  string
	Author  Author
	Changed id.Version
}

// Model returns the bundle's settings for a model.
func (b Bundle) Model(m id.Model) (ModelSpec, bool) {
	for _, s := range b.Models {
		if s.Name == m {
			return s, true
		}
	}
	return ModelSpec{}, false
}

// DomainState tells whether a failure domain may receive new work.
type DomainState string

// States of a failure domain.
const (
	DomainInService DomainState = "InService"
	DomainWithdrawn DomainState = "Withdrawn"
)

// Domain is one failure domain.
type Domain struct {
	ID      id.Domain
	Region  id.Region
	State   DomainState
	Author  Author
	Changed id.Version
}

// TargetKind tells engines from plain services.
type TargetKind string

// Kinds of targets.
const (
	TargetEngine  TargetKind = "Engine"
	TargetService TargetKind = "Service"
)

// Phase is what a target is doing.
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

// Assignment names what a target serves or is to serve.
type Assignment struct {
	Bundle   id.Bundle
	Model    id.Model
	Manifest string
	// Fence is the log position of the order.
	Fence id.Fence
}

// Same reports whether two assignments name the same content.
func (a Assignment) Same(b Assignment) bool {
	return a.Bundle == b.Bundle && a.Model == b.Model && a.Manifest == b.Manifest
}

// Target is one announced target.
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
	// Start is the target's start number, which a restart changes.
	Start string
	// Slots is the number of requests that the target bears when warm.
	Slots int
	// Takeover tells that an older session may still be acting until its
	// lease has expired.
	Takeover bool
	// Staged is the content to fetch ahead of an order.
	Staged Assignment
	// Assigned is the content that the target is ordered to serve.
	Assigned Assignment
	// Installed is the content that the target has reported to serve.
	Installed Assignment
	Phase     Phase
	Reason    string
	Changed   id.Version
}

// Rollout tells which bundle is in force and which is on its way.
type Rollout struct {
	Current id.Bundle
	Next    id.Bundle
	Halted  bool
	Reason  string
	Author  Author
	Changed id.Version
}

// Limits bounds one organisation's share.
type Limits struct {
	// Weight is the organisation's share of contended capacity.
	Weight int
	// Concurrent is the most requests at one entry at a time, or zero for
	// no limit.
	Concurrent int
	// Priority is passed on to engines. Larger is more urgent.
	Priority int
}

// Policy is the configuration that operators apply for all entries.
type Policy struct {
	Organisations map[id.Organisation]Limits
	// Routing names the routing policy.
	Routing string
	Author  Author
	Changed id.Version
}

// TargetChange records that a target was changed or removed.
type TargetChange struct {
	Target  id.Target
	Version id.Version
}

// View is one version of the state. Its maps are shared between copies and
// never changed in place by holders.
type View struct {
	// Version is the log position of the newest change seen.
	Version id.Version
	// Newest is the position of the newest change to any object below. It
	// never exceeds Version.
	Newest  id.Version
	Bundles map[id.Bundle]Bundle
	Domains map[id.Domain]Domain
	Targets map[id.Target]Target
	Rollout Rollout
	Policy  Policy
	// Recent is sorted by version and bounded. Versions before Floor can no
	// longer be told apart and get the whole view.
	Recent []TargetChange
	Floor  id.Version
}

// InService reports whether a failure domain may receive new work. A domain
// that nobody has changed is in service.
func (v *View) InService(d id.Domain) bool {
	return v.Domains[d].State != DomainWithdrawn
}
