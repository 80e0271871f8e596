package targetpool

import (
	"math"
	"time"
)

// rateWindow is the time over which rates are smoothed.
const rateWindow = 2 * time.Second

// rateMeter is a smoothed rate of events. The zero value is a rate of zero.
type rateMeter struct {
	// value is the rate a second as of at.
	value     float64
	updatedAt time.Time
}

func (m *rateMeter) rate(now time.Time) float64 {
	return m.value * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateWindow.Seconds())
}

func (m *rateMeter) add(now time.Time) {
	m.value = m.rate(now) + 1/rateWindow.Seconds()
	m.updatedAt = now
}
