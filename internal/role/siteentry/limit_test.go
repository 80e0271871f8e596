package siteentry

import (
	"io"
	"net/http"
	"testing"
)

// TestLimitComesFromResponses checks which responses set and end a target's limit.
func TestLimitComesFromResponses(t *testing.T) {
	for name, c := range map[string]struct {
		status, limit string
		want          bool
	}{
		"named":            {"200 OK", "2.5", true},
		"named by failure": {"500 Internal Server Error", "2.5", true},
		"not named":        {"200 OK", "", false},
		"no number":        {"200 OK", "many", false},
		"negative":         {"200 OK", "-1", false},
		"not finite":       {"200 OK", "inf", false},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startTarget(t, func(w io.Writer, r *http.Request) {
				fields := []string{"Content-Length: 0"}
				if c.limit != "" {
					fields = append(fields, "Limit: "+c.limit)
				}
				_, _ = io.WriteString(w, head(r, c.status, fields...))
			})
			te := startEntry(t, address)
			if _, _, err := te.call(t, "once"); err != nil {
				t.Fatal(err)
			}
			if got := te.entry.Dispatcher.Demand() != nil; got != c.want {
				t.Errorf("target limits its requests: %v, want %v", got, c.want)
			}
		})
	}
}

// TestFailureEndsNoLimit guards against a target that gets its full load again
// because one of its failures did not name the limit.
func TestFailureEndsNoLimit(t *testing.T) {
	n := 0
	_, address := startTarget(t, func(w io.Writer, r *http.Request) {
		if n++; n == 1 {
			_, _ = io.WriteString(w, head(r, "200 OK", "Content-Length: 0", "Limit: 100"))
			return
		}
		_, _ = io.WriteString(w, head(r, "503 Service Unavailable", "Content-Length: 0", "Not-Run: 1"))
	})
	te := startEntry(t, address)
	for range 2 {
		if _, _, err := te.call(t, "once"); err != nil {
			t.Fatal(err)
		}
	}
	if te.entry.Dispatcher.Demand() == nil {
		t.Error("the limit has ended")
	}
}
