// Package deflate compresses plans, which are large and repetitive, for the
// replicated log and the links between regions.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

const (
	// compressionLevel trades processor time of keepers for bytes on every
	// link.
	compressionLevel = 5
	// maxDocumentBytes bounds a decompressed document.
	maxDocumentBytes = 64 << 20
)

// ErrTooLarge means that a decompressed document exceeds the limit.
var ErrTooLarge = errors.New("decompressed document is too large")

// Compress returns the compressed document.
func Compress(document []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, compressionLevel)
	if err != nil {
		panic("deflate: invalid compression level: " + err.Error())
	}
	// Writes to a buffer in memory don't fail.
	_, _ = w.Write(document)
	_ = w.Close()
	return b.Bytes()
}

// Decompress returns the document that Compress was given. It returns
// ErrTooLarge if the document exceeds 64 MiB.
func Decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	if len(out) > maxDocumentBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}
