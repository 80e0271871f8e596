package role

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/role/entry"
)

func init() { registry.Register(entryCommand{}) }

// entryCommand runs the entry role.
type entryCommand struct{}

func (entryCommand) Path() []string    { return []string{"entry"} }
func (entryCommand) Aliases() []string { return nil }
func (entryCommand) Usage() string     { return "serve callers and route their requests" }
func (entryCommand) Arguments() string { return "" }
func (entryCommand) Flags() []cli.Flag { return []cli.Flag{configFlag()} }

func (entryCommand) Description() string {
	return "An entry stands behind the platform's balancer. It holds nothing that must survive."
}

func (entryCommand) Execute(ctx context.Context, c *cli.Command) error {
	return runRole(ctx, c, "Entry", entry.Run)
}
