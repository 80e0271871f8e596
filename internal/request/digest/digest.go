// Package digest identifies requests by what makes two of them the same.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"

	"egretproxy/internal/fleet/id"
)

const (
	// prefix begins each digest. No part of a prompt has it: a colon ends the ID of
	// a part, or follows sha256.
	prefix = "request:"
	// digestBytes is the length of a digest. Nobody can find a request with the
	// digest of another one.
	digestBytes = 16
)

// Request is what a request consists of. Attempts of callers and of entries differ in
// the attempt ID, the deadline, the priority and the last event, which are not part
// of it.
type Request struct {
	Method, Host, URI string
	// Organisation keeps the requests of one from being shut out by another. It is
	// empty for public routes.
	Organisation id.Organisation
	// Prompt names the parts of the prompt. It stays the same between attempts.
	Prompt string
	Body   []byte
}

// Digest returns the digest in the form of a part of a prompt, so that evidence and
// verdicts can name either.
func (r *Request) Digest() id.PromptPart {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{r.Method, strings.ToLower(r.Host), r.URI, string(r.Organisation), r.Prompt} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(r.Body)
	return id.PromptPart(prefix + hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// IsDigest reports whether p is the digest of a request.
func IsDigest(p id.PromptPart) bool { return strings.HasPrefix(string(p), prefix) }
