package bodylimit_test

import (
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"egretproxy/internal/wire/bodylimit"
)

// endless is a body without end that counts the bytes read from it.
type endless struct{ read int }

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// TestHoldsBodyIsWholeOrAnError guards against a part of a body that is taken
// for the whole because it fills the buffer.
func TestHoldsBodyIsWholeOrAnError(t *testing.T) {
	const limit = 1000
	whole := strings.Repeat("x", limit)
	if data, err := bodylimit.ReadAll(strings.NewReader(whole), limit); err != nil || string(data) != whole {
		t.Errorf("body at the limit: %d bytes, error %v", len(data), err)
	}
	if data, err := bodylimit.ReadAll(strings.NewReader(whole+"x"), limit); !errors.Is(err, bodylimit.ErrTooLong) || data != nil {
		t.Errorf("body beyond the limit: %d bytes, error %v", len(data), err)
	}
	broken := io.MultiReader(strings.NewReader("part"), failing{})
	if data, err := bodylimit.ReadAll(broken, limit); !errors.Is(err, io.ErrUnexpectedEOF) || data != nil {
		t.Errorf("body that breaks off: %d bytes, error %v", len(data), err)
	}
	var e endless
	if _, err := bodylimit.ReadAll(&e, limit); !errors.Is(err, bodylimit.ErrTooLong) || e.read > limit+1 {
		t.Errorf("body without end: read %d bytes, error %v", e.read, err)
	}
}

type failing struct{}

// Read implements io.Reader.
func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
