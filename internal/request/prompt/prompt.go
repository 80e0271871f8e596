// Package prompt reads the parts that a request's prompt consists of.
package prompt

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"egretproxy/internal/fleet/id"
)

const (
	// maxParts limits the parts of one request. Those beyond it count as one.
	maxParts = 64
	// furtherParts stands for them.
	furtherParts id.PromptPart = "further"
	// maxIDBytes is the length above which the ID of a part is replaced by its
	// digest, so that callers can't make tables and messages large. So is one that
	// messages would not carry unchanged.
	maxIDBytes = 32
	// digestBytes is the length of such a digest.
	digestBytes = 12
)

// SharedParts returns the parts that other requests may have in their prompts
// too, in order and each once. list holds comma-separated ID:TOKENS entries; the
// last one is the request's own.
func SharedParts(list string) []id.PromptPart {
	entries := strings.Split(list, ",")
	var out []id.PromptPart
	seen := map[id.PromptPart]bool{}
	for _, entry := range entries[:len(entries)-1] {
		name, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		p := normalize(name)
		if p == "" || seen[p] {
			continue
		}
		if len(out) == maxParts-1 {
			return append(out, furtherParts)
		}
		seen[p] = true
		out = append(out, p)
	}
	return out
}

// normalize returns one spelling for all spellings of a hexadecimal number.
func normalize(name string) id.PromptPart {
	name = strings.ToLower(strings.TrimSpace(name))
	if trimmed := strings.TrimLeft(name, "0"); trimmed != "" {
		name = trimmed
	}
	if len(name) > maxIDBytes || strings.ContainsFunc(name, isUnprintable) {
		digest := sha256.Sum256([]byte(name))
		name = "sha256:" + hex.EncodeToString(digest[:digestBytes])
	}
	return id.PromptPart(name)
}

func isUnprintable(r rune) bool { return r <= ' ' || r >= 0x7f }
