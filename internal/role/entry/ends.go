package entry

import (
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/request/ends"
	"egretproxy/internal/request/refusal"
)

// holdBack refuses a request under which targets ended each time that it came to this
// entry.
func (x *exchange) holdBack() *refusal.Refusal {
	wait := x.ends.Pause(x.digest)
	if wait == 0 {
		return nil
	}
	x.metrics.Count("RequestHeldBack")
	ref := refusal.Unavailable(refusal.EndsTargets, "targets ended under this request", wait)
	if x.atMostOnce {
		return unclaimedRefusal(x.r, ref)
	}
	return ref
}

// recordEnd records that the target ended under the request, if it did. It reports
// whether the request must go to no further target.
func (x *exchange) recordEnd(g *targetpool.Grant, result attemptResult, sentAt time.Time) bool {
	if !result.ended {
		return false
	}
	x.ends.Ended(x.digest, g.Target.ID, int64(g.Target.Session), sentAt)
	n := x.ends.Count(x.digest)
	klog.V(1).InfoS("Target ended under the request", "Request", x.admitted.id, "Target", g.Target.ID, "Digest", x.digest, "Ends", n)
	return n >= ends.Suspicious
}
