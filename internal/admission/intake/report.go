package intake

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/metrics"
)

// logInterval is the least time between log lines.
const logInterval = 10 * time.Second

// Report counts what is refused in a set of metrics, adds gauges of what is held to
// it, and logs refusals at intervals. It must be called before the intake is used.
func (in *Intake) Report(set *metrics.Set) {
	var logged atomic.Int64
	in.OnRefuse = func(reason string) {
		set.CountReason("IntakeRefused", reason)
		now := time.Now().UnixNano()
		if last := logged.Load(); now-last >= int64(logInterval) && logged.CompareAndSwap(last, now) {
			klog.InfoS("Callers are refused", "Reason", reason, "RoomBytes", in.Bytes, "ConnectionLimit", in.Conns)
		}
	}
	set.Gauge("intake_bytes", "Bytes held for long requests of callers.", func() float64 {
		bytes, _ := in.Used()
		return float64(bytes)
	})
	set.Gauge("intake_connections", "Open connections of callers.", func() float64 {
		_, conns := in.Used()
		return float64(conns)
	})
}
