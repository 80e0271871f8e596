package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// faultCommand injects a fault into a simulated server or sets its mark.
func faultCommand() *cli.Command {
	return &cli.Command{
		Name: "fault", Usage: "inject a fault into a simulated server",
		Flags: []cli.Flag{&cli.StringFlag{Name: "url", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.String("url"), nil)
			if err != nil {
				return errors.Wrap(err, "build request")
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return errors.Wrap(err, "post")
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				return errors.Errorf("post fault: server responded %s", resp.Status)
			}
			return nil
		},
	}
}

// countCommand prints one counter of a simulated server.
func countCommand() *cli.Command {
	return &cli.Command{
		Name: "count", Usage: "print one counter of a simulated server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true},
			&cli.StringFlag{Name: "field", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			resp, err := http.Get(c.String("url"))
			if err != nil {
				return errors.Wrap(err, "fetch counts")
			}
			defer func() { _ = resp.Body.Close() }()
			var fields map[string]json.RawMessage
			if err := json.NewDecoder(resp.Body).Decode(&fields); err != nil {
				return errors.Wrap(err, "decode counts")
			}
			fmt.Println(string(fields[c.String("field")]))
			return nil
		},
	}
}
