package targetpool

import (
	"math"
	"time"
)

// rateWindow is the smoothing period of rates.
const rateWindow = 2 * time.Second

// rateMeter measures a smoothed rate of events. The zero value is a rate of
// zero.
type rateMeter struct {
	// perSecond is the rate per second at updatedAt.
	perSecond float64
	updatedAt time.Time
}

func (m *rateMeter) rate(now time.Time) float64 {
	return m.perSecond * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateWindow.Seconds())
}

func (m *rateMeter) add(now time.Time) {
	m.perSecond = m.rate(now) + 1/rateWindow.Seconds()
	m.updatedAt = now
}
