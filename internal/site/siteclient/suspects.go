package siteclient

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/rpc"
)

const (
	// reportTimeout limits one report to one keeper.
	reportTimeout = 700 * time.Millisecond
	// testTimeout limits the request for a test, which a caller waits for.
	testTimeout = 500 * time.Millisecond
)

// updateSuspects reports whether the keeper suspects other parts than before.
func (l *targetList) updateSuspects(response *watch.Response) bool {
	if response.SuspectsAt == l.suspectsAt {
		return false
	}
	l.suspectsAt = response.SuspectsAt
	l.suspects = map[id.PromptPart]time.Time{}
	for _, s := range response.Suspects {
		l.suspects[s.Part] = time.Now().Add(-time.Duration(s.AgeMs) * time.Millisecond)
	}
	return true
}

// publishSuspects reports the suspects of all keepers together.
func (c *Client) publishSuspects() {
	if c.OnSuspects == nil {
		return
	}
	c.mu.Lock()
	out := map[id.PromptPart]time.Time{}
	for _, l := range c.lists {
		for p, since := range l.suspects {
			if old, ok := out[p]; !ok || since.Before(old) {
				out[p] = since
			}
		}
	}
	c.mu.Unlock()
	c.OnSuspects(out)
}

// keepers returns the connections to the keepers.
func (c *Client) keepers() []*rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*rpc.Client
	for _, k := range c.running {
		out = append(out, k.client)
	}
	return out
}

// Report sends a report to all keepers, since each of them judges by itself and
// any may be lost. It returns an error if none got it.
func (c *Client) Report(ctx context.Context, r evidence.Report) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	all := c.keepers()
	failed := make([]error, len(all))
	var g errgroup.Group
	for i, k := range all {
		g.Go(func() error {
			failed[i] = k.Call(ctx, evidence.ReportMethod, r, nil)
			return nil
		})
	}
	_ = g.Wait()
	last := errors.New("no keeper is known")
	for i, err := range failed {
		if err == nil {
			return nil
		}
		last = errors.Wrap(err, all[i].Address)
	}
	return last
}

// TakeTest asks the keepers in turn for the next test of a verdict, and reports
// whether it was granted.
func (c *Client) TakeTest(ctx context.Context, v *Verdict, holder string) bool {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	for _, k := range c.keepers() {
		var out evidence.TestResponse
		err := k.Call(ctx, evidence.TestMethod, evidence.Test{Key: v.Key(), Number: v.Tests + 1, Holder: holder}, &out)
		if err == nil {
			return out.Granted
		}
		klog.V(1).InfoS("Keeper did not grant a test", "Keeper", k.Address, "Error", err.Error())
	}
	return false
}
