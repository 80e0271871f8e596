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

// supersedeCommand ends what a bundle does at once and roll another.
type supersedeCommand struct{}

func (supersedeCommand) Path() []string    { return []string{"bundle", "supersede"} }
func (supersedeCommand) Aliases() []string { return nil }
func (supersedeCommand) Usage() string     { return "end what a bundle does at once and roll another" }

func (supersedeCommand) Description() string {
	return "With the bundle in force as NEW, a rollout is given up and targets return to it."
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
