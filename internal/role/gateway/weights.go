package gateway

import (
	"io"
	"log"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/follow"
)

// requiredWeights returns the oldest version that a request may begin on now.
// The time that is given for a version counts from its naming, and anew after
// each disturbance of the keepers, as the users' rules allow: targets that
// still hold the older one are then better than none.
func requiredWeights(v *follow.View, m id.Model, due, calm time.Duration) int64 {
	var out int64
	for _, n := range v.Weights {
		if n.Model == m && min(boottime.Now()-n.Since, calm) >= due {
			out = max(out, n.Version)
		}
	}
	return out
}

// OnView takes in a new view.
func (g *Gateway) OnView(v *follow.View) { g.Board.Update(v) }

// quietLog drops the lines of net/http about connections of callers.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
