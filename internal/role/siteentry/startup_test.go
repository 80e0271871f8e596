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

// TestHoldsStartingEntryWaitsForPlan covers the time just after all processes
// were killed: callers retry before the entry has the plan or its
// confirmation. They have one more attempt, and a refusal would use it up. An
// entry that has been partitioned for a while cannot know when it will be
// confirmed again and must not make requests wait.
func TestHoldsStartingEntryWaitsForPlan(t *testing.T) {
	const delay = 300 * time.Millisecond
	p := &plan.Plan{Tenants: []plan.Tenant{{Name: "org", Keys: []string{"secret"}}}}
	if err := p.Index(); err != nil {
		t.Fatal(err)
	}
	known := &siteclient.View{Plan: p}
	for name, c := range map[string]struct {
		first fakeViews
		// up is the uptime of the process, stale how long its plan has been
		// unconfirmed.
		up, stale time.Duration
		want      time.Duration
	}{
		"starting, no plan":       {fakeViews{view: &siteclient.View{}}, 0, 0, delay},
		"starting, unconfirmed":   {fakeViews{view: known, age: time.Hour}, 0, 0, delay},
		"just unconfirmed":        {fakeViews{view: known, age: time.Hour}, time.Hour, 0, delay},
		"partitioned for a while": {fakeViews{view: known, age: time.Hour}, time.Hour, maxUnconfirmedWait, 0},
		"no plan after startup":   {fakeViews{view: &siteclient.View{}}, time.Hour, 0, 0},
		"confirmed plan":          {fakeViews{view: known}, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				views := c.first
				views.next, views.nextAt = &fakeViews{view: known}, time.Now().Add(delay-pollInterval)
				e := &Entry{Settings: Settings{Lease: time.Second, Headers: testHeaders}, Views: &views}
				e.startup.startedAt = time.Now().Add(-c.up)
				if c.stale > 0 {
					e.startup.unconfirmedSince = time.Now().Add(-c.stale)
				}
				j := &job{entry: e, r: httptest.NewRequest(http.MethodPost, "/x", nil), startedAt: time.Now()}
				began := time.Now()
				j.awaitPlan()
				if waited := time.Since(began); waited != c.want {
					t.Errorf("waited %s, want %s", waited, c.want)
				}
			})
		})
	}
}

// TestStartingEntryWaitsForTargets checks that a request is served by targets
// that announce themselves after it arrived.
func TestStartingEntryWaitsForTargets(t *testing.T) {
	_, a := startTarget(t, respondWith("ok"))
	te := startEntry(t, a)
	te.entry.startup.startedAt = time.Now()
	te.entry.Dispatcher.Update(&siteclient.View{Plan: te.plan})
	time.AfterFunc(50*time.Millisecond, func() { te.entry.OnView(te.views.view) })
	res, body, err := te.call(t, "read")
	if err != nil || res.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("%v, %q, %v", res, body, err)
	}
}
