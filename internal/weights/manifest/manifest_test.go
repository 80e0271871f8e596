package manifest_test

import (
	"strings"
	"testing"
	"testing/fstest"

	"egretproxy/internal/weights/manifest"
)

func TestCutAndDecode(t *testing.T) {
	dir := fstest.MapFS{
		"a.bin": {Data: []byte(strings.Repeat("weights ", 1000))},
		"b.bin": {Data: []byte(strings.Repeat("weights ", 1000))},
	}
	m, err := manifest.Split(dir, 1024, func(manifest.Digest, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	data, digest, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := manifest.Decode(data, digest)
	if err != nil {
		t.Fatal(err)
	}
	if got.Size() != 16000 || len(got.Chunks()) != 2 {
		t.Errorf("%d bytes in %d distinct chunks", got.Size(), len(got.Chunks()))
	}
}

// FuzzDecode feeds lists that lie. Whatever is taken must add up.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Files":[{"Name":"a","Size":5,"Chunks":[{"Digest":"00","Size":5}]}]}`))
	f.Add([]byte(`{"Files":[{"Name":"a","Size":-1,"Chunks":[]}]}`))
	f.Add([]byte(`{"Files":[{"Name":"a","Size":9,"Chunks":[{"Digest":"` + strings.Repeat("ab", 32) + `","Size":4}]}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Decode(data, manifest.Sum(data))
		if err != nil {
			return
		}
		total := int64(0)
		for _, file := range m.Files {
			for _, c := range file.Chunks {
				if c.Size <= 0 || c.Size > manifest.MaxChunkBytes {
					t.Fatalf("chunk of %d bytes", c.Size)
				}
				total += int64(c.Size)
			}
		}
		if total != m.Size() || total == 0 {
			t.Fatalf("chunks add up to %d of %d bytes", total, m.Size())
		}
	})
}
