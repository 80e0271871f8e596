package siteentry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

// TestHoldsStartingEntryWaitsForPlan plays the moments after all processes
// were killed: callers come again before the entry knows the plan or its
// confirmation. They have one more try, and a refusal would use it up. An
// entry that has been cut off for a while can't know when it will be confirmed
// again, and lets nobody wait.
func TestHoldsStartingEntryWaitsForPlan(t *testing.T) {
	const soon = 300 * time.Millisecond
	p := &plan.Plan{Tenants: []plan.Tenant{{Name: "org", Keys: []string{"secret"}}}}
	if err := p.Index(); err != nil {
		t.Fatal(err)
	}
	known := &siteclient.View{Plan: p}
	for name, c := range map[string]struct {
		first fakeViews
		// up is for how long the process has been there, stale for how long
		// its plan has not been confirmed.
		up, stale time.Duration
		want      time.Duration
	}{
		"starting, no plan":       {fakeViews{view: &siteclient.View{}}, 0, 0, soon},
		"starting, unconfirmed":   {fakeViews{view: known, age: time.Hour}, 0, 0, soon},
		"lost its confirmation":   {fakeViews{view: known, age: time.Hour}, time.Hour, 0, soon},
		"cut off for a while":     {fakeViews{view: known, age: time.Hour}, time.Hour, maxUnconfirmedWait, 0},
		"no plan after its start": {fakeViews{view: &siteclient.View{}}, time.Hour, 0, 0},
		"knows all":               {fakeViews{view: known}, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := c.first
				b.next, b.nextAt = &fakeViews{view: known}, time.Now().Add(soon-pollInterval)
				g := &Entry{Settings: Settings{Lease: time.Second, Dialect: testDialect}, Views: &b}
				g.startup.startedAt = time.Now().Add(-c.up)
				if c.stale > 0 {
					g.startup.unconfirmedSince = time.Now().Add(-c.stale)
				}
				j := &job{entry: g, r: httptest.NewRequest(http.MethodPost, "/x", nil), startedAt: time.Now()}
				began := time.Now()
				j.awaitPlan()
				if waited := time.Since(began); waited != c.want {
					t.Errorf("waited %s, want %s", waited, c.want)
				}
			})
		})
	}
}

// TestStartingEntryWaitsForTargets lets targets announce themselves after a
// request has come.
func TestStartingEntryWaitsForTargets(t *testing.T) {
	_, a := startTarget(t, whole("ok"))
	b := startEntry(t, a)
	b.entry.startup.startedAt = time.Now()
	b.entry.Dispatcher.Update(&siteclient.View{Plan: b.plan})
	time.AfterFunc(50*time.Millisecond, func() { b.entry.OnView(b.views.view) })
	res, body, err := b.call(t, "read")
	if err != nil || res.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("%v, %q, %v", res, body, err)
	}
}
