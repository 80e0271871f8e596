package siteentry

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/siteclient"
)

// TestHoldsLeavingTargetGetsNoRequestAfterDial guards against a request that was
// granted a target, took long to connect, and was sent although the target had
// announced meanwhile that it leaves, or its failure domain had been withdrawn.
func TestHoldsLeavingTargetGetsNoRequestAfterDial(t *testing.T) {
	for name, change := range map[string]func(*siteclient.View){
		"leaving": func(v *siteclient.View) {
			target := v.Targets["t0"]
			target.Stage = discovery.Draining
			v.Targets["t0"] = target
		},
		"gone":      func(v *siteclient.View) { delete(v.Targets, "t0") },
		"withdrawn": func(v *siteclient.View) { v.Withdrawn = map[id.Domain]bool{"z0": true} },
		"replaced": func(v *siteclient.View) {
			target := v.Targets["t0"]
			target.Born++
			v.Targets["t0"] = target
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, a1 := startTarget(t, respondWith("first"))
			second, a2 := startTarget(t, respondWith("second"))
			te := startEntry(t, a1, a2)
			v := *te.views.view
			v.Targets = maps.Clone(v.Targets)
			target := v.Targets["t0"]
			target.Domain = "z0"
			v.Targets["t0"] = target
			te.entry.OnView(&v)
			te.entry.Pool.OnDial = func(address string, _ time.Duration, _ error) {
				if address != a1 {
					return
				}
				next := v
				next.Targets = maps.Clone(v.Targets)
				change(&next)
				te.entry.OnView(&next)
			}
			res, body, err := te.call(t, "once")
			if err != nil || res.StatusCode != http.StatusOK || body != "second" {
				t.Errorf("response %v %q, error %v", res, body, err)
			}
			if n, m := len(first.requests()), len(second.requests()); n != 0 || m != 1 {
				t.Errorf("the targets got %d and %d requests, want 0 and 1", n, m)
			}
		})
	}
}
