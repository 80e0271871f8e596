package bundle

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"egretproxy/internal/command/operator"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/source"
)

// publishTimeout limits the upload of one chunk to all addresses.
const publishTimeout = 5 * time.Minute

func init() { registry.Register(createCommand{}) }

// createCommand publishes weights in chunks and creates a bundle of them.
type createCommand struct{}

func (createCommand) Path() []string    { return []string{"bundle", "create"} }
func (createCommand) Aliases() []string { return nil }
func (createCommand) Usage() string     { return "create a bundle from directories of weights" }
func (createCommand) Arguments() string { return "BUNDLE" }

func (createCommand) Description() string {
	return "Each --model gives a model, the directory with its files, and the number of replicas, where 0 means all remaining engines: guide=weights/guide:0. The files are split into chunks and published to each --publish address. Files below a directory named adapters are the model's adapters."
}

func (createCommand) Flags() []cli.Flag {
	return append(operator.ChangeFlags(),
		&cli.StringSliceFlag{Name: "model", Required: true, Usage: "MODEL=FOLDER[:REPLICAS]"},
		&cli.StringSliceFlag{Name: "publish", Usage: "origin://IP:PORT or store://IP:PORT to send the chunks to"},
		&cli.IntFlag{Name: "chunk-bytes", Value: manifest.DefaultChunkBytes, Usage: "size of a chunk in bytes"},
	)
}

// Execute publishes the weights and creates the bundle.
func (createCommand) Execute(ctx context.Context, c *cli.Command) error {
	s, err := operator.Open(c)
	if err != nil {
		return err
	}
	defer s.Close()
	change := &ledger.CreateBundle{Bundle: id.Bundle(c.Args().First())}
	for _, text := range c.StringSlice("model") {
		spec, err := publishModel(ctx, c, text)
		if err != nil {
			return err
		}
		change.Models = append(change.Models, spec)
	}
	return s.Change(ctx, "CreateBundle", change)
}

// publishModel splits a model's files into chunks, uploads the chunks and the
// manifest, and returns the bundle's entry for the model.
func publishModel(ctx context.Context, c *cli.Command, text string) (view.ModelSpec, error) {
	spec, dir, err := parseModel(text)
	if err != nil {
		return spec, err
	}
	var destinations []*url.URL
	for _, p := range c.StringSlice("publish") {
		u, err := source.Parse(p)
		if err != nil {
			return spec, err
		}
		destinations = append(destinations, u)
	}
	m, err := manifest.Split(os.DirFS(dir), c.Int("chunk-bytes"), func(d manifest.Digest, data []byte) error {
		return uploadChunk(ctx, destinations, d, data)
	})
	if err != nil {
		return spec, errors.Wrap(err, dir)
	}
	data, digest, err := m.Encode()
	if err != nil {
		return spec, err
	}
	spec.Manifest = string(digest)
	for _, f := range m.Files {
		if strings.HasPrefix(f.Name, "adapters/") {
			spec.Adapters = append(spec.Adapters, strings.TrimPrefix(f.Name, "adapters/"))
		}
	}
	fmt.Fprintf(os.Stderr, "model %s: %d files, %d bytes, manifest %s\n", spec.Name, len(m.Files), m.Size(), digest)
	return spec, uploadChunk(ctx, destinations, digest, data)
}

func parseModel(text string) (view.ModelSpec, string, error) {
	name, rest, ok := strings.Cut(text, "=")
	if !ok || name == "" || rest == "" {
		return view.ModelSpec{}, "", errors.Errorf("--model %q is not of the form MODEL=FOLDER[:REPLICAS]", text)
	}
	spec := view.ModelSpec{Name: id.Model(name)}
	dir, replicas, ok := strings.Cut(rest, ":")
	if !ok {
		return spec, dir, nil
	}
	n, err := strconv.Atoi(replicas)
	if err != nil || n < 0 {
		return spec, "", errors.Errorf("--model %q: %q is not a number of replicas", text, replicas)
	}
	spec.Replicas = n
	return spec, dir, nil
}

func uploadChunk(ctx context.Context, destinations []*url.URL, d manifest.Digest, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for _, u := range destinations {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, u.JoinPath("chunks", string(d)).String(), bytes.NewReader(data))
		if err != nil {
			return errors.Wrap(err, "create upload request")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrap(err, "upload chunk")
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			return errors.Errorf("upload to %s failed with status %s", u.Host, resp.Status)
		}
	}
	return nil
}
