package entry

import (
	"net/http"
	"strings"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/settings/config"
)

// serviceHandler forwards requests below a route's prefix to a plain service.
func (e *Entry) serviceHandler(route config.Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, done, ref := e.admit(w, r)
		atMostOnce := !repeatable(route, r)
		if ref != nil {
			if atMostOnce {
				ref = unclaimedRefusal(r, ref)
			}
			e.refuse(w, req.id, ref)
			return
		}
		defer done()
		x := e.newExchange(w, r, req)
		x.poolRequest = targetpool.Request{
			Organisation: req.organisation, Weight: req.limits.Weight, Cost: 1, Service: route.Service,
		}
		x.atMostOnce = atMostOnce
		x.run()
	}
}

// repeatable reports whether a request may run more than once.
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

// matches reports whether a path matches a pattern that may end in "/...".
func matches(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "/..."); ok {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	}
	return path == pattern
}
