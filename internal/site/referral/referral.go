// Package referral refers the callers of an instance without a disk to the
// keepers. Such an instance can't hold replicated state, but the platform may
// name it where a process or an operator looks for a keeper.
package referral

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/site/watch"
	"egretproxy/internal/wire/liveness"
	"egretproxy/internal/wire/rpc"
)

// maxHold bounds the time for which a call is held. It is shorter than the
// watch wait of any client.
const maxHold = 500 * time.Millisecond

// ViewSource provides the current view of the site.
type ViewSource interface{ View() *siteclient.View }

// Server answers watch calls with the addresses of the keepers. Its fields are
// set before use.
type Server struct {
	// Listen is the address at which watchers expect a keeper.
	Listen string
	// Region is the region of this process. Keepers in it are preferred.
	Region id.Region
	Views  ViewSource
}

// Run serves watchers until the context ends.
func (s *Server) Run(ctx context.Context) error {
	l, err := liveness.ListenConfig().Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for watchers")
	}
	server := &rpc.Server{
		Handlers:    map[string]rpc.Handler{watch.Method: s.handleWatch},
		OnConnError: func(err error) { klog.V(1).InfoS("Connection from a watcher failed", "Error", err.Error()) },
	}
	return server.Serve(ctx, l)
}

// handleWatch answers at once while the watcher knows no keeper, since it may
// know this process only.
func (s *Server) handleWatch(ctx context.Context, params json.RawMessage) (any, error) {
	var in watch.Request
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, rpc.InvalidParams(err)
	}
	if in.Index > 0 {
		timer := time.NewTimer(min(time.Duration(in.HoldMs)*time.Millisecond, maxHold))
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	return watch.Response{Referral: true, Region: s.Region, Keepers: slices.Sorted(maps.Keys(s.Views.View().Keepers))}, nil
}

// Keeper returns the address of a responsive keeper, one of this region if
// possible. It returns an empty string if none is known.
func (s *Server) Keeper() string {
	var local, all []string
	for a, r := range s.Views.View().Keepers {
		all = append(all, a)
		if r == s.Region {
			local = append(local, a)
		}
	}
	if len(local) == 0 {
		local = all
	}
	if len(local) == 0 {
		return ""
	}
	return local[rand.IntN(len(local))]
}
