package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Range of the length of a response without a length marker, in tokens.
const (
	minNaturalTokens   = 16
	naturalTokensRange = 112
)

var words = []string{
	"order", "milk", "cream", "sugar", "vanilla", "mango", "pistachio", "tray",
	"shift", "morning", "delivery", "route", "polish", "brush", "refill", "stock",
	"the", "a", "for", "with", "and", "before", "after", "each",
}

// textSource generates the response to one prompt, deterministically.
type textSource struct {
	seed      uint64
	echo      string
	length    int
	truncated bool // the token limit ends the text early
}

func newTextSource(prompt string, maxTokens int) textSource {
	seed := xxhash.Sum64String(prompt)
	t := textSource{seed: seed, echo: echoMarker(prompt)}
	t.length = minNaturalTokens + int(seed%naturalTokensRange)
	if n, err := strconv.Atoi(marker(prompt, LengthOpen)); err == nil && n > 0 {
		t.length = n
	}
	if maxTokens > 0 && maxTokens < t.length {
		t.length, t.truncated = maxTokens, true
	}
	return t
}

// tokenID returns the ID of the token at an index, from a vocabulary of 50,000 tokens.
func (t *textSource) tokenID(index int) int {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], t.seed)
	binary.BigEndian.PutUint64(b[8:], uint64(index))
	return int(xxhash.Sum64(b[:]) % 50000)
}

// tokenText returns the text of a token. The first token repeats the echo marker.
func (t *textSource) tokenText(index int) string {
	if index == 0 && t.echo != "" {
		return EchoOpen + t.echo + markerClose
	}
	return " " + words[t.tokenID(index)%len(words)]
}

// ResponseText returns the complete text that the stand-in generates for a prompt, and
// its length in tokens.
func ResponseText(prompt string, maxTokens int) (text string, tokens int) {
	source := newTextSource(prompt, maxTokens)
	var b strings.Builder
	for i := range source.length {
		b.WriteString(source.tokenText(i))
	}
	return b.String(), source.length
}

// PromptTokens returns the length of a prompt in tokens, at least 1.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

func echoMarker(prompt string) string { return marker(prompt, EchoOpen) }

// marker returns the content of the first marker with the given opening, or an
// empty string.
func marker(prompt, opening string) string {
	_, rest, found := strings.Cut(prompt, opening)
	if !found {
		return ""
	}
	content, _, found := strings.Cut(rest, markerClose)
	if !found {
		return ""
	}
	return content
}
