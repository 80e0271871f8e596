package siteclient

import (
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/boottime"
)

// lossThreshold is the number of consecutive failed calls after which a keeper
// counts as lost. A single call may fail because a link is saturated.
const lossThreshold = 2

// keeperLink tracks the connectivity to one keeper.
type keeperLink struct {
	keeper string
	lost   bool
	// connectedBefore means that a call to the keeper has succeeded before.
	connectedBefore bool
	failures        int
	// failedAt is when the first of the consecutive failed calls began.
	failedAt time.Duration
}

// recordCall records the result of a call that started at began. It returns
// when the keeper was lost or found again, and whether either happened.
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
