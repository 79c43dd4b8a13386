package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// answerGenerator generates the answer to one prompt. Token i depends on the prompt and on i only.
type answerGenerator struct {
	seed uint64
}

func newAnswerGenerator(prompt string) answerGenerator {
	return answerGenerator{seed: xxhash.Sum64String(prompt)}
}

// token returns the text of token i.
func (a answerGenerator) token(i int) string {
	const wordBits = 20
	word := (a.seed ^ uint64(i)*0x9e3779b97f4a7c15) >> (64 - wordBits)
	return strconv.FormatUint(word, 36) + " "
}

// Answer returns the answer of the simulated engine to a prompt, so that callers can check that
// the answer they got is complete and the right one.
func Answer(prompt string, tokens int) string {
	return newAnswerGenerator(prompt).text(tokens)
}

// text returns the text of the first tokens of the answer.
func (a answerGenerator) text(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(a.token(i))
	}
	return b.String()
}

// Digest returns the xxHash64 of an answer's text in hexadecimal digits.
func Digest(text string) string {
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}
