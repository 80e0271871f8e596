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

func init() { registry.Register(supersedeCommand{}) }

// supersedeCommand stops the use of a bundle immediately and rolls out another
// one.
type supersedeCommand struct{}

func (supersedeCommand) Path() []string    { return []string{"bundle", "supersede"} }
func (supersedeCommand) Aliases() []string { return nil }
func (supersedeCommand) Usage() string {
	return "stop the use of a bundle immediately and roll out another one"
}

func (supersedeCommand) Description() string {
	return "If NEW is the current bundle, the rollout of OLD is cancelled and its targets return to NEW."
}
func (supersedeCommand) Arguments() string { return "OLD NEW" }
func (supersedeCommand) Flags() []cli.Flag { return operator.ChangeFlags() }

func (supersedeCommand) Execute(ctx context.Context, c *cli.Command) error {
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		return s.Change(ctx, "SupersedeBundle", &ledger.SupersedeBundle{
			Old: id.Bundle(c.Args().Get(0)), New: id.Bundle(c.Args().Get(1)),
			Base: operator.BaseVersion(c, st.View.Rollout.Author.Version),
		})
	})
}
