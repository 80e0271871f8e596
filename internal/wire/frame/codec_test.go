package frame_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"egretproxy/internal/wire/frame"
)

// FuzzReadObject feeds broken frames. Each ends in an error or an object, and
// a false length claims no memory.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{0, 0, 0, 9, '{', '}'})
	f.Add([]byte{0xFF, 0xFF, 0xFF, 0xFF, '{', '}'})
	f.Add([]byte{0, 0})
	f.Add([]byte{0, 0, 0, 1, '['})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for range len(data) + 1 {
			var v any
			if err := (frame.Codec{Limit: 1 << 10}).ReadObject(r, &v); err != nil {
				return
			}
		}
		t.Fatal("frames never end")
	})
}

func TestFramesTooLongOrCutAreRefused(t *testing.T) {
	cases := map[string]struct {
		data []byte
		want error
	}{
		"too long":  {[]byte{0, 1, 0, 0}, frame.ErrTooLarge},
		"cut":       {[]byte{0, 0, 0, 5, '{'}, frame.ErrTruncated},
		"cut early": {[]byte{0, 0}, frame.ErrTruncated},
		"end":       {nil, io.EOF},
	}
	for name, c := range cases {
		var v any
		err := (frame.Codec{Limit: 1 << 10}).ReadObject(bufio.NewReader(bytes.NewReader(c.data)), &v)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
}
