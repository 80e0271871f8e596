// Package clock waits on the runtime's clock.
package clock

import (
	"context"
	"time"
)

// Sleep waits. It reports whether the time passed before the context ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
