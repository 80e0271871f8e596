package target

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

func init() { registry.Register(listCommand{}) }

// listCommand lists the announced targets.
type listCommand struct{}

func (listCommand) Path() []string      { return []string{"target", "list"} }
func (listCommand) Aliases() []string   { return []string{"ls"} }
func (listCommand) Usage() string       { return "list the announced targets" }
func (listCommand) Description() string { return "" }
func (listCommand) Arguments() string   { return "" }
func (listCommand) Flags() []cli.Flag   { return operator.Flags() }

func (listCommand) Execute(ctx context.Context, c *cli.Command) error {
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		reports := map[id.Target]api.Report{}
		for _, p := range st.Subscribers {
			if p.Report != nil {
				reports[p.Target] = *p.Report
			}
		}
		rows := [][]string{{"TARGET", "KIND", "DOMAIN", "PHASE", "SERVES", "MODEL", "IN PROGRESS", "LIMIT", "REASON"}}
		for _, k := range slices.Sorted(maps.Keys(st.View.Targets)) {
			t, r := st.View.Targets[k], reports[k]
			rows = append(rows, []string{
				string(k), string(t.Kind), string(t.Domain), string(t.Phase), string(t.Installed.Bundle),
				string(t.Installed.Model), fmt.Sprint(r.InFlight), fmt.Sprint(r.Limit), t.Reason,
			})
		}
		return s.Print(st.View.Targets, rows)
	})
}
