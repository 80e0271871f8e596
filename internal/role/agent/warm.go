package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"egretproxy/internal/control/view"
	"egretproxy/internal/target/stream"
	"egretproxy/internal/wire/bodylimit"
	"egretproxy/internal/wire/header"
)

const (
	warmTimeout   = 30 * time.Second
	warmMaxTokens = 1
	// warmRequestsPerSlot is the number of warm-up requests for each slot of
	// the engine.
	warmRequestsPerSlot  = 2
	maxWarmResponseBytes = 1 << 20
)

// warmRequest is the body of a completion request to a loaded engine.
type warmRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// warm sends short requests to the engine, half as many as the ramp needs to
// count it as warm, and at most ColdSlots at a time, the limit of a cold
// engine. It returns an error unless each response is complete and comes from the
// ordered version.
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

// probe sends the engine one short request and checks the response.
func (a *Agent) probe(ctx context.Context, order view.Assignment) error {
	body, err := json.Marshal(warmRequest{Model: string(order.Model), Prompt: "warm-up", MaxTokens: warmMaxTokens})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.backend.BaseURL().JoinPath("v1/completions").String(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.fetcher.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask engine")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bodylimit.ReadAll(resp.Body, maxWarmResponseBytes)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("engine answers %s", resp.Status)
	}
	if version := resp.Header.Get(header.EngineVersion); version != string(order.Bundle) {
		return errors.Errorf("engine answers from version %q", version)
	}
	return stream.CheckVersion(data, string(order.Bundle))
}
