// Package bodylimit reads response bodies of bounded size.
package bodylimit

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLong means that a body exceeds its limit.
var ErrTooLong = errors.New("response body is too long")

// ReadAll returns the whole body. It returns ErrTooLong if the body exceeds
// limit bytes, and never the part that fits: a sender may send without end, and
// a part would be taken for the whole.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLong
	}
	return data, nil
}
