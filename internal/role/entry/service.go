package entry

import (
	"net/http"
	"strings"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/settings/config"
)

// serviceHandler passes requests below a route on to a plain service.
func (e *Entry) serviceHandler(route config.Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, done, ref := e.admit(w, r)
		once := !repeatable(route, r)
		if ref != nil {
			if once {
				ref = unclaimedRefusal(r, ref)
			}
			e.refuse(w, c.id, ref)
			return
		}
		defer done()
		x := e.newExchange(w, r, c)
		x.poolRequest = targetpool.Request{
			Organisation: c.organisation, Weight: c.limits.Weight, Cost: 1, Service: route.Service,
		}
		x.atMostOnce = once
		x.run()
	}
}

// repeatable reports whether a call may run more than once.
func repeatable(route config.Route, r *http.Request) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return true
	}
	path := strings.TrimPrefix(r.URL.Path, route.Prefix)
	for _, c := range route.Repeatable {
		method, pattern, _ := strings.Cut(c, " ")
		if method == r.Method && matches(strings.TrimSpace(pattern), path) {
			return true
		}
	}
	return false
}

// matches compares a path with a pattern that may end in "/...".
func matches(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "/..."); ok {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	}
	return path == pattern
}
