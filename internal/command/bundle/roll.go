package bundle

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/command/operator"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/wire/api"
)

func init() { registry.Register(rollCommand{}) }

// rollCommand starts the rollout of an approved bundle.
type rollCommand struct{}

func (rollCommand) Path() []string    { return []string{"bundle", "roll"} }
func (rollCommand) Aliases() []string { return nil }
func (rollCommand) Usage() string     { return "start the rollout of an approved bundle" }
func (rollCommand) Description() string {
	return "Follow it with bundle status --follow, which can be left and rejoined."
}
func (rollCommand) Arguments() string { return "BUNDLE" }
func (rollCommand) Flags() []cli.Flag { return operator.ChangeFlags() }

func (rollCommand) Execute(ctx context.Context, c *cli.Command) error {
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		return s.Change(ctx, "RollBundle", &ledger.RollBundle{
			Bundle: id.Bundle(c.Args().First()), Base: operator.BaseVersion(c, st.View.Rollout.Author.Version),
		})
	})
}
