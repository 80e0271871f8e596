package quarantine

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/registry"
)

func init() { registry.Register(liftCommand{}) }

// liftCommand readmits requests with a part, or one request.
type liftCommand struct{}

func (liftCommand) Path() []string    { return []string{"quarantine", "lift"} }
func (liftCommand) Aliases() []string { return nil }
func (liftCommand) Usage() string {
	return "readmit the requests with a part of a prompt, or one request"
}
func (liftCommand) Arguments() string { return "PART|request:DIGEST" }
func (liftCommand) Flags() []cli.Flag { return flags() }
func (liftCommand) Description() string {
	return "Lifts all verdicts that contain the part, or the one on the request with the digest. It is shut out again if engines end with it again."
}

func (liftCommand) Execute(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("exactly one part is required")
	}
	return call(ctx, c, id.PromptPart(c.Args().First()))
}
