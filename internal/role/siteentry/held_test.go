package siteentry

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"egretproxy/internal/fleet/id"
)

// arrivals returns how many requests the targets got.
func arrivals(targets []*fakeTarget) int {
	n := 0
	for _, f := range targets {
		n += len(f.requests())
	}
	return n
}

// restartTargets replaces each target by its next incarnation.
func (te *testEntry) restartTargets() {
	v := *te.views.view
	v.Targets = maps.Clone(v.Targets)
	for k, target := range v.Targets {
		target.Born++
		v.Targets[k] = target
	}
	te.views.view = &v
	te.entry.OnView(&v)
}

// TestHoldsEntryWithoutKeepersBoundsEnds guards against a request that ends one more
// target with each attempt of its caller, while the entry is out of touch with the
// keepers and gets no verdict.
func TestHoldsEntryWithoutKeepersBoundsEnds(t *testing.T) {
	for _, host := range []string{"read", "once", "stream"} {
		t.Run(host, func(t *testing.T) {
			var addresses []string
			var targets []*fakeTarget
			for range 8 {
				f, a := startTarget(t, endsAtOnce)
				targets, addresses = append(targets, f), append(addresses, a)
			}
			te := startEntry(t, addresses...)
			var last *http.Response
			for range 12 {
				res, _, err := te.call(t, host)
				if err != nil {
					t.Fatal(err)
				}
				last = res
				time.Sleep(60 * time.Millisecond)
				te.restartTargets()
			}
			if n := arrivals(targets); n != 3 {
				t.Errorf("%d arrivals at targets, want 3", n)
			}
			after, _ := strconv.ParseFloat(last.Header.Get("Retry-After"), 64)
			if last.StatusCode != http.StatusServiceUnavailable || after < 50 || after > 60 {
				t.Errorf("status %d, Retry-After %v s", last.StatusCode, after)
			}
		})
	}
}

// TestHeldRequestIsLetThrough checks what ends the pause of a request: a whole response,
// a verdict that is lifted, and a test of a verdict on it, but none of one on its parts.
func TestHeldRequestIsLetThrough(t *testing.T) {
	for name, c := range map[string]struct {
		before func(te *testEntry)
		sent   bool
	}{
		"held":             {func(*testEntry) {}, false},
		"whole response":   {func(te *testEntry) { te.entry.witness.RequestServed(digestOf("read")) }, true},
		"test of verdict":  {func(te *testEntry) { te.shutOut(61*time.Second, digestOf("read")) }, true},
		"verdict":          {func(te *testEntry) { te.shutOut(0, digestOf("read")) }, false},
		"verdict lifted":   {func(te *testEntry) { te.shutOut(0, digestOf("read")); te.shutOut(0, "part") }, true},
		"other is lifted":  {func(te *testEntry) { te.shutOut(0, "part"); te.shutOut(0, "part2") }, false},
		"verdict on parts": {func(te *testEntry) { te.shutOut(61*time.Second, "part") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			target, address := startTarget(t, respondWith("ok"))
			te := startEntry(t, address)
			te.entry.Keepers = &fakeKeepers{}
			fields := []string{}
			if name == "verdict on parts" {
				fields = []string{"Prompt", "part:1,own:2"}
			}
			d := digestOf("read", fields...)
			for n := range 3 {
				te.entry.witness.RequestEnded(id.Target(fmt.Sprint("x", n)), 1, d, time.Now())
				time.Sleep(60 * time.Millisecond)
			}
			c.before(te)
			res, body, err := te.call(t, "read", fields...)
			if err != nil || (res.StatusCode == http.StatusOK) != c.sent || len(target.requests()) > 0 != c.sent {
				t.Errorf("got response %v, body %q, error %v, %d requests sent", res, body, err, len(target.requests()))
			}
			if c.sent && te.entry.witness.RequestEnds(d) != 0 {
				t.Error("the whole response does not clear the request")
			}
		})
	}
}
