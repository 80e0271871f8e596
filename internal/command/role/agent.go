package role

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/role/agent"
)

func init() { registry.Register(agentCommand{}) }

// agentCommand runs the agent role.
type agentCommand struct{}

func (agentCommand) Path() []string    { return []string{"agent"} }
func (agentCommand) Aliases() []string { return nil }
func (agentCommand) Usage() string     { return "serve one target and carry out its orders" }
func (agentCommand) Arguments() string { return "" }
func (agentCommand) Flags() []cli.Flag { return []cli.Flag{configFlag()} }

func (agentCommand) Description() string {
	return "An agent runs beside each target. All work and all orders for the target pass through it."
}

func (agentCommand) Execute(ctx context.Context, c *cli.Command) error {
	return runRole(ctx, c, "Agent", agent.Run)
}
