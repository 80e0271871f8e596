package siteentry

import (
	"io"
	"log"
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/siteclient"
)

// soonMargin is how long before a version is required engines on older ones
// get so little that requests begin at once. At a full engine they were seen
// to begin 0.8 s after they arrived.
const soonMargin = 800 * time.Millisecond

// weightsFloor is the oldest version of each model's weights that requests may begin
// on. It never falls. The zero value allows all.
type weightsFloor struct {
	mu       sync.Mutex
	versions map[id.Model]int64
	// soonRequired is the versions that become required within soonMargin.
	soonRequired map[id.Model]int64
	// startedAt is when the process learnt its first view.
	startedAt time.Duration
}

// raise takes in for how long versions are named. The time that is given for
// a version begins anew after each disturbance of the keepers, as the users'
// rules allow: targets that still hold the older one are then better than
// none. Once it has passed, the version stays required. A process that starts
// later can't know whether it has passed without a disturbance: it requires
// what was named long enough before.
func (f *weightsFloor) raise(v *siteclient.View, due, calm time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		f.versions, f.startedAt = map[id.Model]int64{}, boottime.Now()
	}
	if f.soonRequired == nil {
		f.soonRequired = map[id.Model]int64{}
	}
	for _, n := range v.Weights {
		if min(boottime.Now()-n.Since, calm) >= due || f.startedAt-n.Since >= due {
			f.versions[n.Model] = max(f.versions[n.Model], n.Version)
		}
		if boottime.Now()-n.Since >= due-soonMargin {
			f.soonRequired[n.Model] = max(f.soonRequired[n.Model], n.Version)
		}
	}
}

func (f *weightsFloor) required(m id.Model) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[m]
}

// requiredSoon returns the version that requests are required to begin on now or
// soon.
func (f *weightsFloor) requiredSoon(m id.Model) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.soonRequired[m], f.versions[m])
}

// OnView takes in a new view.
func (g *Entry) OnView(v *siteclient.View) {
	g.raiseWeightsFloor(v)
	g.Dispatcher.Update(v)
}

func (g *Entry) raiseWeightsFloor(v *siteclient.View) {
	g.floor.raise(v, g.Settings.WeightsGrace, g.Views.StableFor()-g.Settings.KeeperSettleTime)
}

// discardLog drops the lines of net/http about connections of callers.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
