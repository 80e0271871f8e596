// Package view is the part of the agreed state that entries, agents and
// operators see: bundles, failure domains, targets, the rollout and the
// policy, with the differences between two versions of it.
package view

import (
	"cmp"
	"maps"
	"slices"

	"egretproxy/internal/fleet/id"
)

// maxTouched is the number of changed targets after which a difference ends.
// The holder asks for the rest with its next renewal.
const maxTouched = 128

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

// Touch records that a target was changed or removed.
type Touch struct {
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
	Recent []Touch
	Floor  id.Version
}

// Delta turns one version of a view into a later one.
type Delta struct {
	// To is the version after the delta.
	To id.Version
	// Full tells that the holder must forget what it had.
	Full    bool        `json:",omitempty"`
	Bundles []Bundle    `json:",omitempty"`
	Domains []Domain    `json:",omitempty"`
	Targets []Target    `json:",omitempty"`
	Removed []id.Target `json:",omitempty"`
	Rollout *Rollout    `json:",omitempty"`
	Policy  *Policy     `json:",omitempty"`
}

// Since returns what a holder of a version lacks. A scope other than the
// empty one leaves out all targets but the named one.
func (v *View) Since(from id.Version, scope id.Target) Delta {
	d := Delta{To: v.Version, Full: from < v.Floor || from > v.Version}
	if d.Full {
		from = 0
	}
	if from >= v.Newest {
		return d
	}
	for _, k := range slices.Sorted(maps.Keys(v.Bundles)) {
		if b := v.Bundles[k]; b.Changed > from {
			d.Bundles = append(d.Bundles, b)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(v.Domains)) {
		if c := v.Domains[k]; c.Changed > from {
			d.Domains = append(d.Domains, c)
		}
	}
	if v.Rollout.Changed > from {
		r := v.Rollout
		d.Rollout = &r
	}
	if v.Policy.Changed > from {
		p := v.Policy
		d.Policy = &p
	}
	v.addTargets(&d, from, scope)
	return d
}

func (v *View) addTargets(d *Delta, from id.Version, scope id.Target) {
	if scope != "" {
		if t, ok := v.Targets[scope]; ok && t.Changed > from {
			d.Targets = append(d.Targets, t)
		}
		return
	}
	if d.Full {
		for _, k := range slices.Sorted(maps.Keys(v.Targets)) {
			d.Targets = append(d.Targets, v.Targets[k])
		}
		return
	}
	touched, last := v.touchedSince(from)
	d.To = last
	for _, k := range touched {
		if t, ok := v.Targets[k]; ok {
			d.Targets = append(d.Targets, t)
			continue
		}
		d.Removed = append(d.Removed, k)
	}
}

// touchedSince returns the targets that were changed or removed after a
// version, each once, and the version up to which they are complete. It stops
// at a bound, so that no answer of a keeper grows with the fleet.
func (v *View) touchedSince(from id.Version) ([]id.Target, id.Version) {
	first, _ := slices.BinarySearchFunc(v.Recent, from+1, func(t Touch, at id.Version) int {
		return cmp.Compare(t.Version, at)
	})
	seen := map[id.Target]bool{}
	var out []id.Target
	last := v.Version
	for i := first; i < len(v.Recent); i++ {
		t := v.Recent[i]
		if len(out) >= maxTouched && t.Version != v.Recent[i-1].Version {
			return out, v.Recent[i-1].Version
		}
		if !seen[t.Target] {
			seen[t.Target] = true
			out = append(out, t.Target)
		}
	}
	return out, last
}

// With returns the view after the delta. A delta to an older version leaves
// the view as it is.
func (v View) With(d Delta) View {
	if d.To < v.Version {
		return v
	}
	out := View{Version: d.To, Rollout: v.Rollout, Policy: v.Policy}
	if d.Full {
		v = View{}
	}
	out.Bundles = cloneBundles(v.Bundles, len(d.Bundles) == 0)
	out.Domains = cloneDomains(v.Domains, len(d.Domains) == 0)
	out.Targets = cloneTargets(v.Targets, len(d.Targets)+len(d.Removed) == 0)
	for _, b := range d.Bundles {
		out.Bundles[b.ID] = b
	}
	for _, c := range d.Domains {
		out.Domains[c.ID] = c
	}
	for _, t := range d.Targets {
		out.Targets[t.ID] = t
	}
	for _, k := range d.Removed {
		delete(out.Targets, k)
	}
	if d.Rollout != nil {
		out.Rollout = *d.Rollout
	}
	if d.Policy != nil {
		out.Policy = *d.Policy
	}
	return out
}

func cloneBundles(m map[id.Bundle]Bundle, shared bool) map[id.Bundle]Bundle {
	if shared && m != nil {
		return m
	}
	if m == nil {
		return map[id.Bundle]Bundle{}
	}
	return maps.Clone(m)
}

func cloneDomains(m map[id.Domain]Domain, shared bool) map[id.Domain]Domain {
	if shared && m != nil {
		return m
	}
	if m == nil {
		return map[id.Domain]Domain{}
	}
	return maps.Clone(m)
}

func cloneTargets(m map[id.Target]Target, shared bool) map[id.Target]Target {
	if shared && m != nil {
		return m
	}
	if m == nil {
		return map[id.Target]Target{}
	}
	return maps.Clone(m)
}

// InService reports whether a failure domain may receive new work. A domain
// that nobody has changed is in service.
func (v *View) InService(d id.Domain) bool {
	return v.Domains[d].State != DomainWithdrawn
}
