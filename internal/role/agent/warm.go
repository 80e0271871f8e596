package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"egretproxy/internal/control/view"
	"egretproxy/internal/target/stream"
	"egretproxy/internal/wire/header"
)

const (
	warmTimeout   = 30 * time.Second
	warmMaxTokens = 1
	// warmRequestsPerSlot is the warm-up requests for each slot of the engine.
	warmRequestsPerSlot = 2
	maxWarmAnswerBytes  = 1 << 20
)

// warmRequest is the request that checks a loaded engine.
type warmRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// warm sends the engine as many short requests as half of its ramp takes, no
// more at a time than a cold engine bears. Each answer must come whole and from
// the ordered version.
func (a *Agent) warm(ctx context.Context, order view.Assignment) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(a.cfg.Agent.Target.ColdSlots)
	for range warmRequestsPerSlot * a.cfg.Agent.Target.Slots {
		g.Go(func() error {
			if err := a.probe(ctx, order); err != nil {
				return err
			}
			a.ramp.RecordCompletion()
			return nil
		})
	}
	return g.Wait()
}

// probe asks the engine for one short answer.
func (a *Agent) probe(ctx context.Context, order view.Assignment) error {
	body, err := json.Marshal(warmRequest{Model: string(order.Model), Prompt: "warm-up", MaxTokens: warmMaxTokens})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, a.backend.BaseURL().JoinPath("v1/completions").String(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := a.fetcher.Client.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask engine")
	}
	defer func() { _ = w.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(w.Body, maxWarmAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if w.StatusCode != http.StatusOK {
		return errors.Errorf("engine answers %s", w.Status)
	}
	if v := w.Header.Get(header.EngineVersion); v != string(order.Bundle) {
		return errors.Errorf("engine answers from version %q", v)
	}
	return stream.CheckVersion(answer, string(order.Bundle))
}
