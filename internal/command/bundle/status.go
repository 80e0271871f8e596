package bundle

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/command/operator"
	"egretproxy/internal/control/view"
	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/wire/api"
)

const followInterval = 500 * time.Millisecond

func init() { registry.Register(statusCommand{}) }

// statusCommand shows the bundles and the rollout.
type statusCommand struct{}

func (statusCommand) Path() []string    { return []string{"bundle", "status"} }
func (statusCommand) Aliases() []string { return []string{"show"} }
func (statusCommand) Usage() string     { return "show the bundles and the rollout" }
func (statusCommand) Arguments() string { return "" }

func (statusCommand) Description() string {
	return "SERVE counts the engines that serve the bundle, HOLD those whose agents hold all of its weights. With --follow the command ends once no rollout is in progress, with an error if it was halted."
}

func (statusCommand) Flags() []cli.Flag {
	return append(operator.Flags(), &cli.BoolFlag{Name: "follow", Aliases: []string{"f"}, Usage: "show progress until the rollout ends"})
}

// Execute shows the bundles once or until the rollout ends.
func (statusCommand) Execute(ctx context.Context, c *cli.Command) error {
	s, err := operator.Open(c)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		st, err := s.Status(ctx)
		if err != nil {
			return err
		}
		ro := st.View.Rollout
		if !c.Bool("follow") || ro.Next == "" || ro.Halted {
			return printResult(c, s, st)
		}
		serve, hold, all := countEngines(st, ro)
		fmt.Fprintf(os.Stderr, "bundle %s: %d of %d serve, %d hold\n", ro.Next, serve, all, hold)
		select {
		case <-time.After(followInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func printResult(c *cli.Command, s *operator.Session, st api.StatusResponse) error {
	if err := s.Print(st.View.Bundles, bundleRows(st)); err != nil {
		return err
	}
	if ro := st.View.Rollout; c.Bool("follow") && ro.Halted {
		return cli.Exit("rollout of "+string(ro.Next)+" is halted: "+ro.Reason, operator.ExitRefused)
	}
	return nil
}

func bundleRows(st api.StatusResponse) [][]string {
	rows := [][]string{{"BUNDLE", "STATE", "MODELS", "SERVE", "HOLD", "CHANGED BY", "VERSION", "REASON"}}
	for _, k := range slices.Sorted(maps.Keys(st.View.Bundles)) {
		b := st.View.Bundles[k]
		serve, hold, _ := countEngines(st, view.Rollout{Next: k})
		models := ""
		for i, m := range b.Models {
			if i > 0 {
				models += ","
			}
			models += string(m.Name)
		}
		rows = append(rows, []string{
			string(k), string(b.State), models, fmt.Sprint(serve), fmt.Sprint(hold),
			string(b.Author.Operator), fmt.Sprint(b.Author.Version), b.Reason,
		})
	}
	return rows
}

// countEngines counts the engines that serve and hold the bundle on its way.
func countEngines(st api.StatusResponse, ro view.Rollout) (serve, hold, all int) {
	for _, t := range st.View.Targets {
		if t.Kind != view.TargetEngine {
			continue
		}
		all++
		if t.Installed.Bundle == ro.Next && t.Phase == view.PhaseServing {
			serve++
		}
	}
	for _, p := range st.Subscribers {
		if p.Report != nil && p.Report.Held.Bundle == ro.Next {
			hold++
		}
	}
	return serve, hold, all
}
