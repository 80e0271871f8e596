package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"egretproxy/internal/control/view"
	"egretproxy/internal/target/backend"
	_ "egretproxy/internal/target/engine"
	"egretproxy/internal/weights/fetch"
	"egretproxy/internal/wire/header"
)

// endlessBytes is what an endless engine sends at most.
const endlessBytes = 96 << 20

// TestHoldsEndlessAnswerWarmsNoEngine guards against an engine that counts as
// warm although its answer has no end: the beginning was taken for the whole.
func TestHoldsEndlessAnswerWarmsNoEngine(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.EngineVersion, "v1")
		block := make([]byte, 64<<10)
		for n := 0; n < endlessBytes; n += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	b, err := backend.New("engine://" + strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	a := &Agent{backend: b, fetcher: &fetch.Fetcher{Client: backend.NewClient()}}
	if err := a.probe(t.Context(), view.Assignment{Bundle: "v1", Model: "m"}); err == nil {
		t.Error("an answer without end was taken")
	}
}
