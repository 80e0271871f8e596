// Package command holds the subcommands of the stand-in program.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/time/rate"

	"egretproxy/internal/kernel/process"
	"egretproxy/internal/standin/chunkserver"
	"egretproxy/internal/standin/loadgen"
	"egretproxy/internal/standin/report"
	"egretproxy/internal/standin/simengine"
	"egretproxy/internal/standin/simservice"
)

const (
	headerTimeout  = 5 * time.Second
	stopTimeout    = 1 * time.Second
	linkBurstBytes = 64 << 10
)

// All returns the subcommands.
func All() []*cli.Command {
	return []*cli.Command{engineCommand(), serviceCommand(), depotCommand(), loadCommand(), naiveCommand(), reportCommand(), faultCommand(), countCommand(), loadedCommand()}
}

func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return process.Serve(ctx, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}, l, stopTimeout)
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "address to listen on"}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "slots", Value: 16},
			&cli.IntFlag{Name: "cold-slots", Value: 2},
			&cli.IntFlag{Name: "warm-requests", Value: 16},
			&cli.DurationFlag{Name: "token-interval", Value: 10 * time.Millisecond},
			&cli.DurationFlag{Name: "prefill-per-kb", Value: 20 * time.Millisecond},
			&cli.IntFlag{Name: "cold-factor", Value: 4},
			&cli.IntFlag{Name: "cache-blocks", Value: 400},
			&cli.DurationFlag{Name: "load-time", Value: 300 * time.Millisecond},
			&cli.BoolFlag{Name: "fencing"},
			&cli.StringFlag{Name: "fail-load", Usage: "version whose load fails"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e := simengine.New(simengine.Config{
				Slots: c.Int("slots"), ColdSlots: c.Int("cold-slots"), WarmRequests: c.Int("warm-requests"),
				TokenInterval: c.Duration("token-interval"), PrefillPerKB: c.Duration("prefill-per-kb"),
				ColdFactor: c.Int("cold-factor"), CacheBlocks: c.Int("cache-blocks"),
				ReportLag: 500 * time.Millisecond, EventLag: time.Second, EventLossInterval: 7,
				Fencing: c.Bool("fencing"), CrashFactor: 1.5, LoadTime: c.Duration("load-time"),
				FailingVersion: c.String("fail-load"),
			})
			go e.Run(ctx)
			return serve(ctx, c.String("listen"), e.Handler(ctx))
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "a plain service",
		Flags: []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), simservice.New(c.Duration("delay")).Handler())
		},
	}
}

func depotCommand() *cli.Command {
	return &cli.Command{
		Name: "depot", Usage: "an origin of weights or a weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "link", Usage: "bytes a second, or 0 for no bound"},
			&cli.IntFlag{Name: "calls", Usage: "requests a second, or 0 for no bound"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			d := &chunkserver.Server{}
			if n := c.Int("link"); n > 0 {
				d.BandwidthLimit = rate.NewLimiter(rate.Limit(n), linkBurstBytes)
			}
			if n := c.Int("calls"); n > 0 {
				d.RequestLimit = rate.NewLimiter(rate.Limit(n), n)
			}
			return serve(ctx, c.String("listen"), d.Handler())
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "steady requests until it is stopped",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true},
			&cli.StringSliceFlag{Name: "key", Required: true},
			&cli.StringFlag{Name: "model", Value: "guide"},
			&cli.FloatFlag{Name: "rate", Value: 40},
			&cli.IntFlag{Name: "tokens", Value: 24},
			&cli.IntFlag{Name: "prefixes", Value: 12},
			&cli.FloatFlag{Name: "once-share", Value: 0.15},
			&cli.FloatFlag{Name: "stream-share", Value: 0.7},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "out", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			l := loadgen.New(loadgen.Config{
				Entries: c.StringSlice("entry"), Keys: c.StringSlice("key"), Model: c.String("model"),
				Rate: c.Float("rate"), MaxTokens: c.Int("tokens"), PrefixCount: c.Int("prefixes"),
				NonIdempotentShare: c.Float("once-share"), StreamShare: c.Float("stream-share"),
				Seed: c.Uint64("seed"), Resend: true,
			})
			data, err := json.Marshal(l.Run(ctx))
			if err != nil {
				return errors.Wrap(err, "encode counts")
			}
			return os.WriteFile(c.String("out"), data, 0o600)
		},
	}
}

func loadedCommand() *cli.Command {
	return &cli.Command{
		Name: "loaded", Usage: "how many engines have loaded a bundle, and after how many seconds",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "engine"},
			&cli.StringFlag{Name: "bundle"},
			&cli.Int64Flag{Name: "since", Usage: "Unix milliseconds"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			n, seconds := report.CountLoaded(c.StringSlice("engine"), c.String("bundle"), c.Int64("since"))
			fmt.Println(n, seconds)
			return nil
		},
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "what the stand-ins counted",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "engine"},
			&cli.StringSliceFlag{Name: "service"},
			&cli.StringFlag{Name: "load", Required: true},
			&cli.IntFlag{Name: "replicas"},
			&cli.FloatFlag{Name: "seconds"},
			&cli.Int64Flag{Name: "copy-bytes"},
			&cli.Int64Flag{Name: "drawn-bytes"},
			&cli.Int64Flag{Name: "naive-bytes"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			r, x, err := report.Build(report.Input{
				Engines: c.StringSlice("engine"), Services: c.StringSlice("service"),
				LoadFile: c.String("load"), Replicas: c.Int("replicas"), Seconds: c.Float("seconds"),
				CopyBytes: c.Int64("copy-bytes"), OriginBytes: c.Int64("drawn-bytes"), NaiveOriginBytes: c.Int64("naive-bytes"),
			})
			if err != nil {
				return err
			}
			broken := r.Violations(x)
			for _, b := range broken {
				fmt.Println("BROKEN", b)
			}
			if err := r.Print(os.Stdout, x); err != nil {
				return err
			}
			if len(broken) > 0 {
				return errors.New("something that must always hold was broken")
			}
			return nil
		},
	}
}
