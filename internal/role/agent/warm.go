package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/target/stream"
	"egretproxy/internal/wire/header"
)

const (
	warmTimeout   = 30 * time.Second
	warmMaxTokens = 1
	maxWarmAnswer = 1 << 20
)

// warmRequest is the request that checks a loaded engine.
type warmRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// warm asks the engine for one short answer and checks that it comes whole
// and from the ordered version.
func (a *Agent) warm(ctx context.Context, order view.Assignment) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	body, err := json.Marshal(warmRequest{Model: string(order.Model), Prompt: "warm-up", MaxTokens: warmMaxTokens})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, a.backend.Base().JoinPath("v1/completions").String(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := a.probeClient().Do(r)
	if err != nil {
		return errors.Wrap(err, "ask engine")
	}
	defer func() { _ = w.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(w.Body, maxWarmAnswer))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if w.StatusCode != http.StatusOK {
		return errors.Errorf("engine answers %s", w.Status)
	}
	if v := w.Header.Get(header.EngineVersion); v != string(order.Bundle) {
		return errors.Errorf("engine answers from version %q", v)
	}
	return stream.Check(answer, string(order.Bundle))
}
