package siteclient

import (
	"math"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/quarantine"
)

// View is the state of the site as a client knows it. It is immutable.
type View struct {
	// Plan is nil until one is known.
	Plan *plan.Plan
	// Withdrawn holds the failure domains that are out of service.
	Withdrawn map[id.Domain]bool
	// Weights holds the newest published versions, oldest first.
	Weights []WeightsVersion
	// Quarantine holds the verdicts on parts of prompts and on requests, oldest first.
	Quarantine []Verdict
	// Targets holds all targets that are alive and have not left.
	Targets map[id.Target]discovery.Target
	// Entries is the number of known entries, at least 1.
	Entries int
	// TrafficShare is this process's part, 0 to 1, of the requests of all entries
	// for each service for which it reports its demand.
	TrafficShare map[id.Service]float64
	// Keepers holds the region of each responsive keeper, by address.
	Keepers map[string]id.Region
	// OtherMirrors holds the region of each process that mirrors weights and is
	// not a keeper, by address. It is empty at entries.
	OtherMirrors map[string]id.Region
}

// Mirrors returns the addresses of the processes in a region that mirror
// weights: the responsive keepers and others. An empty region selects all.
func (v *View) Mirrors(r id.Region) []string {
	var out []string
	for _, mirrors := range []map[string]id.Region{v.Keepers, v.OtherMirrors} {
		for a, at := range mirrors {
			if r == "" || at == r {
				out = append(out, a)
			}
		}
	}
	return out
}

// Verdict is a verdict with the time of its last change.
type Verdict struct {
	quarantine.Verdict
	// ChangedAt is by the boottime clock.
	ChangedAt time.Duration
}

// Age returns the time since the verdict or its last test.
func (v *Verdict) Age() time.Duration { return boottime.Now() - v.ChangedAt }

// WeightsVersion is a published version of weights.
type WeightsVersion struct {
	Model   id.Model
	Version int64
	// Since is when it was published, by the boottime clock.
	Since time.Duration
}

// NewestWeights returns the newest published version of the model, or 0.
func (v *View) NewestWeights(m id.Model) int64 {
	newest := int64(0)
	for _, w := range v.Weights {
		if w.Model == m {
			newest = max(newest, w.Version)
		}
	}
	return newest
}

// unknownPosition is a position that no keeper reaches.
const unknownPosition = math.MaxUint64

// targetList holds the targets that one keeper reported.
type targetList struct {
	epoch    string
	position uint64
	targets  map[id.Target]discovery.Target
	// retained holds the targets reported before the keeper restarted. They
	// count until retainedUntil, by when they have had time to announce
	// themselves again.
	retained      map[id.Target]discovery.Target
	retainedUntil time.Time
	// lastResponse is the time of the keeper's last response.
	lastResponse time.Time
	entries      int
	keepers      []string
	region       id.Region
	mirrors      map[string]id.Region
	// referral means that the process is not a keeper, and refers to keepers.
	referral bool
	// suspects is the time of the first end with each part that the keeper
	// suspects, at its position suspectsAt.
	suspects   map[id.PromptPart]time.Time
	suspectsAt uint64
	// demand is what this process told the keeper last, totalDemand the sum over
	// all entries in its response.
	demand, totalDemand map[id.Service]float64
}

// update adds targets to the list, or replaces it if the keeper restarted.
func (l *targetList) update(epoch string, position uint64, targets []discovery.Target) {
	if l.epoch != epoch {
		if len(l.targets) > 0 {
			l.retained, l.retainedUntil = l.targets, time.Now().Add(discovery.SilenceTimeout)
		}
		l.targets = map[id.Target]discovery.Target{}
		l.epoch, l.suspectsAt = epoch, unknownPosition
	}
	for _, t := range targets {
		l.targets[t.ID] = t
	}
	l.position = position
	l.lastResponse = time.Now()
}

// merge returns the targets that are alive according to all lists together. If
// two targets claim an address, the younger one holds it.
func merge(lists map[string]*targetList) map[id.Target]discovery.Target {
	out := map[id.Target]discovery.Target{}
	for _, l := range lists {
		if time.Now().Before(l.retainedUntil) {
			for _, t := range l.retained {
				mergeTarget(out, t)
			}
		}
		for _, t := range l.targets {
			mergeTarget(out, t)
		}
	}
	holders := map[string]discovery.Target{}
	for _, t := range out {
		if h, ok := holders[t.Address]; !ok || t.Born > h.Born {
			holders[t.Address] = t
		}
	}
	for k, t := range out {
		if t.Stage == discovery.Gone || t.Stage == discovery.Silent || holders[t.Address].ID != k {
			delete(out, k)
		}
	}
	return out
}

// mergeTarget combines two keepers' records of a target. An incarnation never
// returns from draining or leaving, and its version of weights only grows.
func mergeTarget(out map[id.Target]discovery.Target, t discovery.Target) {
	old, known := out[t.ID]
	if !known || t.Born > old.Born {
		out[t.ID] = t
		return
	}
	if t.Born < old.Born {
		return
	}
	merged := old
	if t.Sequence > old.Sequence {
		merged = t
	}
	merged.Weights = max(t.Weights, old.Weights)
	merged.Stage = mergeStage(t.Stage, old.Stage)
	out[t.ID] = merged
}

func mergeStage(a, b discovery.Stage) discovery.Stage {
	if a == discovery.Silent {
		return b
	}
	if b == discovery.Silent {
		return a
	}
	return max(a, b)
}
