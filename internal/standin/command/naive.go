package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"egretproxy/internal/fleet/id"
	_ "egretproxy/internal/weights/direct" // the naive planner
	"egretproxy/internal/weights/fetch"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/source"
	"egretproxy/internal/weights/store"
)

const (
	naiveStoreBytes     = 1 << 30
	naiveBytesPerSecond = 1 << 40
	naiveParallel       = 4
)

// naiveCommand fetches content with the naive planner, as so many instances
// of their own, so that the origin's counts can be compared.
func naiveCommand() *cli.Command {
	return &cli.Command{
		Name: "naive", Usage: "draw content from the origin as the naive planner does",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "origin", Required: true},
			&cli.StringFlag{Name: "manifest", Required: true},
			&cli.IntFlag{Name: "instances", Value: 6},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			u, err := source.Parse(c.String("origin"))
			if err != nil {
				return err
			}
			g, ctx := errgroup.WithContext(ctx)
			for i := range c.Int("instances") {
				g.Go(func() error { return naiveFetch(ctx, u, c.String("manifest"), i) })
			}
			return g.Wait()
		},
	}
}

func naiveFetch(ctx context.Context, origin *url.URL, digest string, number int) error {
	f := &fetch.Fetcher{
		Self:  planner.Member{Target: id.Target(fmt.Sprintf("naive-%d", number)), Region: "naive"},
		Store: &store.Store{Limit: naiveStoreBytes}, Client: http.DefaultClient, Planner: "Direct",
		Scheme: "http", Sources: []*url.URL{origin}, Parallel: naiveParallel,
		StallTimeout: 10 * time.Second, InstanceRate: naiveBytesPerSecond, RegionRate: naiveBytesPerSecond,
		Peers: func(context.Context, manifest.Digest) ([]fetch.Peer, error) { return nil, nil },
	}
	_, err := f.Fetch(ctx, manifest.Digest(digest))
	return err
}
