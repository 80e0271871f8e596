package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// faultCommand makes a stand-in fail or count on purpose.
func faultCommand() *cli.Command {
	return &cli.Command{
		Name: "fault", Usage: "post to the fault page of a stand-in",
		Flags: []cli.Flag{&cli.StringFlag{Name: "url", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.String("url"), nil)
			if err != nil {
				return errors.Wrap(err, "build request")
			}
			w, err := http.DefaultClient.Do(r)
			if err != nil {
				return errors.Wrap(err, "post")
			}
			defer func() { _ = w.Body.Close() }()
			if w.StatusCode != http.StatusOK {
				return errors.Errorf("stand-in answers %s", w.Status)
			}
			return nil
		},
	}
}

// countCommand prints one field of a stand-in's counts.
func countCommand() *cli.Command {
	return &cli.Command{
		Name: "count", Usage: "print one count of a stand-in",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true},
			&cli.StringFlag{Name: "field", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			w, err := http.Get(c.String("url"))
			if err != nil {
				return errors.Wrap(err, "ask stand-in")
			}
			defer func() { _ = w.Body.Close() }()
			var fields map[string]json.RawMessage
			if err := json.NewDecoder(w.Body).Decode(&fields); err != nil {
				return errors.Wrap(err, "decode counts")
			}
			fmt.Println(string(fields[c.String("field")]))
			return nil
		},
	}
}
