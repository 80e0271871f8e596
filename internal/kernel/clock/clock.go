// Package clock provides a sleep that a context can end.
package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends. It returns false if
// the context ended first. Without a positive duration it returns at once.
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
