package siteentry

import (
	"io"
	"log"
	"sync"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/siteclient"
)

// weightsFloor is the oldest weights version of each model on which requests
// may start. It never decreases. The zero value allows all versions.
type weightsFloor struct {
	mu       sync.Mutex
	versions map[id.Model]int64
	// soonRequired holds the versions that become required within dispatch.SoonRequired.
	soonRequired map[id.Model]int64
	// startedAt is when the process received its first view.
	startedAt time.Duration
}

// raise updates the required versions. The grace period of a version starts
// again after each lost or established connection to a keeper, as the users'
// rules allow, since targets that still hold the older version are then better
// than none. Once the period has passed, the version stays required. A process
// that starts later cannot know whether the connections were stable throughout
// the period, so it requires the versions published long enough before its
// start.
func (f *weightsFloor) raise(v *siteclient.View, grace, stableFor time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		f.versions, f.startedAt = map[id.Model]int64{}, boottime.Now()
	}
	if f.soonRequired == nil {
		f.soonRequired = map[id.Model]int64{}
	}
	for _, n := range v.Weights {
		if min(boottime.Now()-n.Since, stableFor) >= grace || f.startedAt-n.Since >= grace {
			f.versions[n.Model] = max(f.versions[n.Model], n.Version)
		}
		if boottime.Now()-n.Since >= grace-dispatch.SoonRequired {
			f.soonRequired[n.Model] = max(f.soonRequired[n.Model], n.Version)
		}
	}
}

func (f *weightsFloor) required(m id.Model) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[m]
}

// requiredSoon returns the version that is required now or within dispatch.SoonRequired.
func (f *weightsFloor) requiredSoon(m id.Model) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.soonRequired[m], f.versions[m])
}

// nextStart returns the oldest published version of a model that is not required yet,
// and until when requests may still start on older ones: bound after its publication,
// but in any case for as long as connections to keepers were not stable. It returns 0
// if there is none.
func (f *weightsFloor) nextStart(v *siteclient.View, m id.Model, bound, stableFor time.Duration) (version int64, by time.Time) {
	required := f.required(m)
	for _, n := range v.Weights {
		if n.Model != m || n.Version <= required {
			continue
		}
		left := bound - min(boottime.Now()-n.Since, stableFor)
		if until := time.Now().Add(left); version == 0 || until.Before(by) {
			version, by = n.Version, until
		}
	}
	return version, by
}

// OnView applies a new view to the required weights and the dispatcher.
func (e *Entry) OnView(v *siteclient.View) {
	e.raiseWeightsFloor(v)
	e.witness.SetVerdicts(verdicts(v))
	e.Dispatcher.Update(v)
}

func (e *Entry) raiseWeightsFloor(v *siteclient.View) {
	e.floor.raise(v, e.Settings.WeightsGrace, e.stableFor())
}

// stableFor returns for how long connections to keepers have been stable.
func (e *Entry) stableFor() time.Duration { return e.Views.StableFor() - e.Settings.KeeperSettleTime }

// discardLog drops the log lines of net/http about callers' connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
