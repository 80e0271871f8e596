// Package textgen derives the text that stand-in engines give, so that callers
// can check that an answer is whole, their own, and from one version.
package textgen

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of one token of an answer.
func Token(version, prompt string, number int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", version, prompt, number))
	return fmt.Sprintf(" %08x", uint32(h))
}

// Answer returns the whole text of an answer.
func Answer(version, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(version, prompt, i))
	}
	return b.String()
}
