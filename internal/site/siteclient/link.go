package siteclient

import (
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/boottime"
)

// lossThreshold is the calls in a row that must fail before a keeper counts
// as lost. A single one may have met a full link.
const lossThreshold = 2

// keeperLink is the connection to one keeper.
type keeperLink struct {
	keeper string
	lost   bool
	// connectedBefore tells that the keeper was found before.
	connectedBefore bool
	failures        int
	// failedAt is when the first of the failed calls began.
	failedAt time.Duration
}

// recordCall takes in the end of a call that began at a time. It returns when the
// keeper was lost or found again, if it was.
func (l *keeperLink) recordCall(err error, began time.Duration) (at time.Duration, changed bool) {
	if err == nil {
		l.failures = 0
		if !l.lost {
			return 0, false
		}
		l.lost = false
		klog.InfoS("Connection to keeper changed", "Keeper", l.keeper, "Lost", false)
		again := l.connectedBefore
		l.connectedBefore = true
		return boottime.Now(), again
	}
	if l.failures++; l.failures == 1 {
		l.failedAt = began
	}
	if l.lost || l.failures < lossThreshold {
		return 0, false
	}
	l.lost = true
	klog.InfoS("Connection to keeper changed", "Keeper", l.keeper, "Lost", true, "Reason", err.Error())
	return l.failedAt, true
}
