// Package manifest describes the files of a model as content-addressed
// chunks.
package manifest

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"io/fs"

	"github.com/go-faster/errors"
	"github.com/zeebo/blake3"
)

const (
	// DefaultChunkBytes is the size of all chunks but the last of a file.
	DefaultChunkBytes = 4 << 20
	// MaxChunkBytes bounds the chunks that a manifest may name.
	MaxChunkBytes = 64 << 20
	// maxChunks bounds the length of a manifest.
	maxChunks = 1 << 20
)

// ErrInvalid tells that a manifest contradicts itself or its digest.
var ErrInvalid = errors.New("manifest is not valid")

// Digest is the hex BLAKE3 digest of some bytes.
type Digest string

// Sum returns the digest of the bytes.
func Sum(data []byte) Digest {
	sum := blake3.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Chunk is one piece of a file.
type Chunk struct {
	Digest Digest
	Size   int
}

// File is one file in the order of its chunks.
type File struct {
	Name   string
	Size   int64
	Chunks []Chunk
}

// Manifest lists the files of one version of a model, adapters included.
type Manifest struct {
	Files []File
}

// Encode returns the bytes over which a manifest's digest is worked out.
func (m Manifest) Encode() ([]byte, Digest, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode manifest")
	}
	return data, Sum(data), nil
}

// Decode reads a manifest and checks it against its digest and itself.
func Decode(data []byte, want Digest) (Manifest, error) {
	var m Manifest
	if Sum(data) != want {
		return m, errors.Wrap(ErrInvalid, "digest differs")
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrapf(ErrInvalid, "decode: %v", err)
	}
	return m, m.check()
}

func (m Manifest) check() error {
	count := 0
	for _, f := range m.Files {
		total := int64(0)
		for _, c := range f.Chunks {
			if c.Size <= 0 || c.Size > MaxChunkBytes {
				return errors.Wrapf(ErrInvalid, "%s: chunk of %d bytes", f.Name, c.Size)
			}
			if raw, err := hex.DecodeString(string(c.Digest)); err != nil || len(raw) != 32 {
				return errors.Wrapf(ErrInvalid, "%s: digest %q", f.Name, c.Digest)
			}
			total += int64(c.Size)
			count++
		}
		if total != f.Size {
			return errors.Wrapf(ErrInvalid, "%s: chunks add up to %d of %d bytes", f.Name, total, f.Size)
		}
	}
	if count == 0 || count > maxChunks {
		return errors.Wrapf(ErrInvalid, "%d chunks", count)
	}
	return nil
}

// Chunks returns the distinct chunks in order of first use.
func (m Manifest) Chunks() []Chunk {
	seen := map[Digest]bool{}
	var out []Chunk
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			if !seen[c.Digest] {
				seen[c.Digest] = true
				out = append(out, c)
			}
		}
	}
	return out
}

// Size returns the bytes of all files.
func (m Manifest) Size() int64 {
	var n int64
	for _, f := range m.Files {
		n += f.Size
	}
	return n
}

// Split reads all files of a folder, in order of their names, and passes each
// chunk on.
func Split(dir fs.FS, chunkBytes int, emit func(Digest, []byte) error) (Manifest, error) {
	var m Manifest
	err := fs.WalkDir(dir, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		f, err := splitFile(dir, path, chunkBytes, emit)
		m.Files = append(m.Files, f)
		return err
	})
	if err != nil {
		return m, errors.Wrap(err, "cut files")
	}
	return m, m.check()
}

func splitFile(dir fs.FS, path string, chunkBytes int, emit func(Digest, []byte) error) (File, error) {
	out := File{Name: path}
	f, err := dir.Open(path)
	if err != nil {
		return out, err
	}
	defer func() { _ = f.Close() }()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(f, buffer)
		if n > 0 {
			c := Chunk{Digest: Sum(buffer[:n]), Size: n}
			out.Chunks = append(out.Chunks, c)
			out.Size += int64(n)
			if err := emit(c.Digest, buffer[:n]); err != nil {
				return out, err
			}
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}
