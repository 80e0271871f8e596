package view

import (
	"cmp"
	"maps"
	"slices"

	"egretproxy/internal/fleet/id"
)

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
	touched, last := v.targetsChangedSince(from)
	d.To = last
	for _, k := range touched {
		if t, ok := v.Targets[k]; ok {
			d.Targets = append(d.Targets, t)
			continue
		}
		d.Removed = append(d.Removed, k)
	}
}

// targetsChangedSince returns the targets that were changed or removed after a
// version, each once, and the version up to which they are complete. It stops
// at a bound, so that no answer of a keeper grows with the fleet.
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
