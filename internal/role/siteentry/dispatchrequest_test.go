package siteentry

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/exchange/headernames"
	"egretproxy/internal/site/plan"
)

// TestAnswerByHeaders checks what is known of the length of an answer and of the time
// that it has.
func TestAnswerByHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		due := dispatch.Answer{Gap: 400 * time.Millisecond, StartDue: began.Add(time.Second), EndDue: began.Add(6 * time.Second)}
		with := func(change func(*dispatch.Answer)) dispatch.Answer {
			a := due
			change(&a)
			return a
		}
		for name, c := range map[string]struct {
			usage, length string
			events        int
			age           time.Duration
			want          dispatch.Answer
		}{
			"all":          {"800,315", "90", 0, 0, with(func(a *dispatch.Answer) { a.HintTokens, a.MaxTokens = 90, 315 })},
			"no hint":      {"800,315", "", 0, 0, with(func(a *dispatch.Answer) { a.MaxTokens = 315 })},
			"no usage":     {"", "90", 0, 0, with(func(a *dispatch.Answer) { a.HintTokens = 90 })},
			"no numbers":   {"800", "-4", 0, 0, due},
			"resumed":      {"800,315", "90", 3, 0, with(func(a *dispatch.Answer) { a.HintTokens, a.MaxTokens, a.DoneTokens = 90, 315, 21 })},
			"late already": {"800,315", "90", 0, 2 * time.Second, with(func(a *dispatch.Answer) { a.HintTokens, a.MaxTokens, a.StartDue = 90, 315, time.Time{} })},
		} {
			r := httptest.NewRequest("POST", "/", nil)
			r.Header.Set("Usage", c.usage)
			r.Header.Set("Length", c.length)
			j := &job{
				entry: &Entry{Settings: Settings{Headers: headernames.Names{Usage: "Usage", Length: "Length"}}}, r: r,
				service: &plan.Service{Engine: &plan.Engine{StepsPerEvent: 7}}, stream: &stream{events: c.events},
				route: &plan.Route{EventGap: due.Gap, Objective: time.Second}, startedAt: time.Now().Add(-c.age), deadline: due.EndDue,
			}
			if d := cmp.Diff(c.want, j.answer()); d != "" {
				t.Errorf("%s: %s", name, d)
			}
		}
	})
}
