package dispatch

// rateLimit is the number of requests a second that a target takes from all
// entries together. The zero value is no limit.
type rateLimit struct {
	// named is set while the target's responses name a limit.
	named     bool
	perSecond float64
}

// RecordLimit records the limit that a response of the target named, if any. It
// reports whether that differs from the response before.
func (g *Grant) RecordLimit(perSecond float64, named bool) bool {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := rateLimit{named, perSecond}
	changed := g.target.limit != limit
	g.target.limit = limit
	return changed
}
