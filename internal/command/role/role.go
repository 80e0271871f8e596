// Package role implements the commands that run the roles.
package role

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"egretproxy/internal/admission/intake"
	"egretproxy/internal/kernel/build"
	"egretproxy/internal/kernel/logs"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/settings/config"
)

// runFunc is the main function of a role.
type runFunc func(ctx context.Context, cfg config.Config, set *metrics.Set) error

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings file of the process"}
}

func loadSettings(c *cli.Command) (config.Config, error) {
	name := c.String("config")
	if name == "" {
		return config.Config{}, errors.New("--config is required")
	}
	return config.Load(name)
}

// runRole loads the settings, initialises the log and runs the role until it
// ends.
func runRole(ctx context.Context, c *cli.Command, name string, run runFunc) error {
	cfg, err := loadSettings(c)
	if err != nil {
		return err
	}
	logs.Init(os.Stderr, cfg.Process.LogLevel)
	klog.InfoS("Process starts", append(build.Read().Fields(), "Role", name)...)
	set := metrics.New(name)
	in := intake.New(0, 0)
	in.Report(set)
	intake.SetProcess(in)
	return run(ctx, cfg, set)
}
