package engine

import (
	"fmt"

	"github.com/tidwall/gjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// Usage is the usage that an engine reports for one request, in tokens.
type Usage struct {
	Prompt, Output, Cached budget.Tokens
}

// Chunk is one part of a streamed response, sent as one server-sent event.
type Chunk struct {
	// Tokens is the number of generated tokens in the chunk.
	Tokens uint32
	// JSON is the chunk in the format of the model API.
	JSON string
	// Finished is set if the chunk has the finish reason of a choice.
	Finished bool
	// NoChoices is set if the chunk has no choices, as in the final chunk with the
	// usage.
	NoChoices bool
	// Usage is nil if the chunk reports none.
	Usage *Usage
	// CompletionID is the engine's ID of the response, empty if there is none.
	CompletionID string
}

// parseChunk parses the fields of a chunk that the agent needs.
func parseChunk(data []byte, chunk *Chunk) error {
	text := string(data)
	if !gjson.Valid(text) {
		return fmt.Errorf("%w: invalid JSON", ErrMalformedEvent)
	}
	root := gjson.Parse(text)
	if !root.IsObject() {
		return fmt.Errorf("%w: not an object", ErrMalformedEvent)
	}
	*chunk = Chunk{JSON: text, NoChoices: true}
	listedTokens, tokens := -1, 0 // -1 if the chunk does not list token IDs
	root.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id":
			chunk.CompletionID = value.Str
		case "token_ids":
			if value.IsArray() {
				listedTokens = countElements(value)
			}
		case "choices":
			tokens = readChoices(value, chunk)
		case "usage":
			chunk.Usage = readUsage(value)
		case "error":
			tokens = 0
		}
		return true
	})
	if listedTokens >= 0 {
		tokens = listedTokens
	}
	chunk.Tokens = uint32(tokens)
	return nil
}

func countElements(list gjson.Result) int {
	n := 0
	list.ForEach(func(_, _ gjson.Result) bool {
		n++
		return true
	})
	return n
}

// readChoices sets chunk.Finished and chunk.NoChoices, and returns the token count
// for an engine that does not list token IDs: one for each choice with new content.
func readChoices(choices gjson.Result, chunk *Chunk) int {
	tokens := 0
	choices.ForEach(func(_, choice gjson.Result) bool {
		chunk.NoChoices = false
		hasContent := false
		choice.ForEach(func(key, value gjson.Result) bool {
			switch key.Str {
			case "finish_reason":
				chunk.Finished = chunk.Finished || value.Str != ""
			case "text":
				hasContent = hasContent || value.Str != ""
			case "delta":
				hasContent = hasContent || deltaHasContent(value)
			}
			return true
		})
		if hasContent {
			tokens++
		}
		return true
	})
	return tokens
}

// deltaHasContent reports whether a chat delta has content besides its role.
func deltaHasContent(delta gjson.Result) bool {
	found := false
	delta.ForEach(func(key, value gjson.Result) bool {
		if key.Str == "role" {
			return true
		}
		found = found || (value.Type == gjson.String && value.Str != "") || value.Type == gjson.JSON
		return true
	})
	return found
}

// readUsage returns nil for a missing usage. Negative counts become 0.
func readUsage(value gjson.Result) *Usage {
	if !value.IsObject() {
		return nil
	}
	read := func(path string) budget.Tokens { return max(0, budget.Tokens(value.Get(path).Int())) }
	return &Usage{
		Prompt: read("prompt_tokens"), Output: read("completion_tokens"),
		Cached: read("prompt_tokens_details.cached_tokens"),
	}
}
