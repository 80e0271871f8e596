package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/header"
)

const (
	eventsBegun = "data: {\"n\":1}\n\ndata: {\"n\":2}\n\n"
	eventsRest  = "data: {\"n\":3}\n\n"
	endMarker   = "data: [DONE]\n\n"
)

// answer is one response of an agent.
type answer struct {
	status                    int
	contentType, bundle, body string
	// cut means that the connection is closed after the body.
	cut bool
}

// script answers the nth request with the nth answer, and later ones with the last.
type script struct {
	answers []answer

	mu sync.Mutex
	// resumes are the numbers of tokens after which the requests go on.
	resumes []string
}

func (s *script) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	a := s.answers[min(len(s.resumes), len(s.answers)-1)]
	s.resumes = append(s.resumes, r.Header.Get(header.ResumeTokens))
	s.mu.Unlock()
	h := w.Header()
	h.Set(header.RequestID, r.Header.Get(header.RequestID))
	h.Set("Content-Type", a.contentType)
	h.Set("Location", "/elsewhere")
	if a.bundle != "" {
		h.Set(header.Bundle, a.bundle)
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
	if a.cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// requests returns after how many tokens each request goes on.
func (s *script) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumes
}

// engines returns targets that serve model m on bundle v1.
func engines(n int) []view.Target {
	var out []view.Target
	for i := range n {
		installed := view.Assignment{Bundle: "v1", Model: "m"}
		out = append(out, view.Target{
			ID: id.Target(strconv.Itoa(i)), Kind: view.TargetEngine, Installed: installed, Assigned: installed,
		})
	}
	return out
}

func (re *runningEntry) call(t *testing.T, method, path, body string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+re.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer key-of-huts")
	r.Close = true
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	res, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return res, string(got), err
}

const completion = `{"model": "m", "prompt": "p", "stream": true}`

// TestHoldsResumedStreamEndsOnlyWhole guards against a stream that broke off and
// reaches its caller as if it were complete, or with another answer in it, because
// the target that should continue it answers with something else than its rest.
func TestHoldsResumedStreamEndsOnlyWhole(t *testing.T) {
	const json = "application/json"
	for name, c := range map[string]struct {
		second answer
		// want follows the events that the caller has. If it is empty, the stream
		// is given up.
		want string
	}{
		"rest":           {answer{200, eventsType, "v1", eventsRest + endMarker, false}, eventsRest + endMarker},
		"end marker":     {answer{200, eventsType, "v1", endMarker, false}, endMarker},
		"500":            {answer{500, json, "v1", `{"error": {}}`, false}, ""},
		"400":            {answer{400, json, "v1", `{"error": {}}`, false}, ""},
		"404, cut":       {answer{404, json, "v1", `{"error": {}}`, true}, ""},
		"204":            {answer{204, json, "v1", "", false}, ""},
		"302":            {answer{302, json, "v1", "found", false}, ""},
		"200, no stream": {answer{200, json, "v1", `{"text": "x"}`, false}, ""},
		"200, empty":     {answer{200, json, "v1", "", false}, ""},
		"no event":       {answer{200, eventsType, "v1", "", false}, ""},
		"comment":        {answer{200, eventsType, "v1", ": ok\n\n", false}, ""},
		"500 as stream":  {answer{500, eventsType, "v1", eventsRest + endMarker, false}, ""},
		"other bundle":   {answer{200, eventsType, "v2", eventsRest + endMarker, false}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{answers: []answer{{200, eventsType, "v1", eventsBegun, true}, c.second}}
			re := startEntryTo(t, s.serve, engines(2)...)
			res, body, err := re.call(t, http.MethodPost, "/v1/completions", completion)
			rest, ok := strings.CutPrefix(body, eventsBegun)
			if err != nil || res.StatusCode != http.StatusOK || !ok {
				t.Fatalf("got response %v, body %q, error %v", res, body, err)
			}
			if c.want != "" && rest != c.want {
				t.Errorf("the stream goes on with %q, want %q", rest, c.want)
			}
			rest = strings.TrimPrefix(rest, ": ok\n\n")
			if c.want == "" && (!strings.HasPrefix(rest, `data: {"error":`) || strings.Count(rest, "data:") != 1 || !strings.HasSuffix(rest, "}\n\n")) {
				t.Errorf("the stream goes on with %q, want one event with an error", rest)
			}
			if got := s.requests(); len(got) < 2 || got[1] != "2" {
				t.Errorf("the requests go on after %v tokens, so the test checked nothing", got)
			}
		})
	}
}

// TestHoldsStreamGoesOnAtAThirdTarget guards against a stream that is given up
// because the second target did not continue it although a third one can.
func TestHoldsStreamGoesOnAtAThirdTarget(t *testing.T) {
	for name, second := range map[string]answer{
		"500":      {500, "application/json", "v1", `{"error": {}}`, false},
		"400":      {400, "application/json", "v1", `{"error": {}}`, false},
		"no event": {200, eventsType, "v1", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{answers: []answer{{200, eventsType, "v1", eventsBegun, true}, second, {200, eventsType, "v1", eventsRest + endMarker, false}}}
			re := startEntryTo(t, s.serve, engines(3)...)
			res, body, err := re.call(t, http.MethodPost, "/v1/completions", completion)
			if err != nil || res.StatusCode != http.StatusOK || body != eventsBegun+eventsRest+endMarker {
				t.Errorf("got response %v, body %q, error %v", res, body, err)
			}
			if got := s.requests(); len(got) != 3 || got[2] != "2" {
				t.Errorf("the requests go on after %v tokens", got)
			}
		})
	}
}

// TestHoldsServiceStreamIsNotRepeated guards against a stream of a plain service,
// which can't go on at a given event, whose events come twice because the request
// goes to another target after it broke off.
func TestHoldsServiceStreamIsNotRepeated(t *testing.T) {
	for name, first := range map[string]answer{
		"cut":           {200, eventsType, "", eventsBegun, true},
		"without event": {200, eventsType, "", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{answers: []answer{first, {200, eventsType, "", eventsBegun + eventsRest + endMarker, false}}}
			re := startEntryTo(t, s.serve,
				view.Target{ID: "0", Kind: view.TargetService, Service: "inventory"},
				view.Target{ID: "1", Kind: view.TargetService, Service: "inventory"})
			res, body, err := re.call(t, http.MethodGet, "/inventory/ropes", "")
			if first.body == "" {
				if err != nil || res.StatusCode != http.StatusOK || body != eventsBegun+eventsRest+endMarker {
					t.Errorf("got response %v, body %q, error %v", res, body, err)
				}
				return
			}
			if err != nil || !strings.HasPrefix(body, eventsBegun+`data: {"error":`) || strings.Contains(body, endMarker) || strings.Count(body, "data:") != 3 {
				t.Errorf("got response %v, body %q, error %v", res, body, err)
			}
			if got := s.requests(); len(got) != 1 {
				t.Errorf("%d requests were sent", len(got))
			}
		})
	}
}
