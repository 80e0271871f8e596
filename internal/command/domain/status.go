package domain

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/command/operator"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/wire/api"
)

func init() { registry.Register(statusCommand{}) }

// statusCommand shows the failure domains.
type statusCommand struct{}

func (statusCommand) Path() []string      { return []string{"domain", "status"} }
func (statusCommand) Aliases() []string   { return nil }
func (statusCommand) Usage() string       { return "show the failure domains" }
func (statusCommand) Description() string { return "" }
func (statusCommand) Arguments() string   { return "" }
func (statusCommand) Flags() []cli.Flag   { return operator.Flags() }

func (statusCommand) Execute(ctx context.Context, c *cli.Command) error {
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		rows := [][]string{{"DOMAIN", "REGION", "STATE", "TARGETS", "IN PROGRESS", "CHANGED BY", "VERSION"}}
		for _, k := range slices.Sorted(maps.Keys(st.View.Domains)) {
			d := st.View.Domains[k]
			targets, work := countTargets(st, k)
			rows = append(rows, []string{
				string(k), string(d.Region), string(d.State), fmt.Sprint(targets), fmt.Sprint(work),
				string(d.Author.Operator), fmt.Sprint(d.Author.Version),
			})
		}
		return s.Print(st.View.Domains, rows)
	})
}

// countTargets returns the targets of a domain and their requests in progress.
func countTargets(st api.StatusResponse, d id.Domain) (targets, work int) {
	for _, t := range st.View.Targets {
		if t.Domain == d {
			targets++
		}
	}
	for _, p := range st.Subscribers {
		if t, ok := st.View.Targets[p.Target]; ok && t.Domain == d && p.Report != nil {
			work += p.Report.InFlight
		}
	}
	return targets, work
}
