// Package textgen generates the text of simulated engines from the version and the
// prompt, so that callers can check that an answer is complete, belongs to their
// request and comes from a single version.
package textgen

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of the token with the given number.
func Token(version, prompt string, number int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", version, prompt, number))
	return fmt.Sprintf(" %08x", uint32(h))
}

// Answer returns the text of an answer of the given number of tokens.
func Answer(version, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(version, prompt, i))
	}
	return b.String()
}
