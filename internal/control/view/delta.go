package view

import (
	"cmp"
	"maps"
	"slices"

	"egretproxy/internal/fleet/id"
)

// Delta is the difference between one version of a view and a later one.
type Delta struct {
	// To is the version of the view after the delta is applied.
	To id.Version
	// Full reports that the delta replaces the holder's whole view.
	Full    bool        `json:",omitempty"`
	Bundles []Bundle    `json:",omitempty"`
	Domains []Domain    `json:",omitempty"`
	Targets []Target    `json:",omitempty"`
	Removed []id.Target `json:",omitempty"`
	Rollout *Rollout    `json:",omitempty"`
	Policy  *Policy     `json:",omitempty"`
}

// Since returns the delta that a holder of version from needs. If scope is not
// empty, the delta contains no target but that one. A delta may end before the
// current version; To is the version that it reaches.
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
	changed, last := v.targetsChangedSince(from)
	d.To = last
	for _, k := range changed {
		if t, ok := v.Targets[k]; ok {
			d.Targets = append(d.Targets, t)
			continue
		}
		d.Removed = append(d.Removed, k)
	}
}

// targetsChangedSince returns the targets that were changed or removed after a
// version, each once, and the version up to which the list is complete. It stops
// at maxDeltaTargets, so that the size of a keeper's reply does not grow with
// the fleet.
func (v *View) targetsChangedSince(from id.Version) ([]id.Target, id.Version) {
	first, _ := slices.BinarySearchFunc(v.Recent, from+1, func(t TargetChange, at id.Version) int {
		return cmp.Compare(t.Version, at)
	})
	seen := map[id.Target]bool{}
	var out []id.Target
	last := v.Version
	for i := first; i < len(v.Recent); i++ {
		t := v.Recent[i]
		if len(out) >= maxDeltaTargets && t.Version != v.Recent[i-1].Version {
			return out, v.Recent[i-1].Version
		}
		if !seen[t.Target] {
			seen[t.Target] = true
			out = append(out, t.Target)
		}
	}
	return out, last
}

// With returns the view after the delta. A delta to an older version is ignored.
// Maps that the delta does not change are shared with the receiver.
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
