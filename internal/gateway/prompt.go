package gateway

import (
	"math"

	"github.com/tidwall/gjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/prefix"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// structuredFactor is the maximum number of prompt bytes per byte of a JSON value
// (tools, tool calls, schemas). Chat templates serialize such values again: indented,
// or with \u escapes, which turn a 3-byte character into 6 bytes.
const structuredFactor = 2

// bytesPerToken is the typical length of a token. It is used only for estimates.
const bytesPerToken = 4

// maxHashedBytes is the length of the prompt prefix that has block hashes.
const maxHashedBytes = prefix.BlockBytes * prefix.MaxBlocks

// prompt measures the text of a prompt and keeps its beginning for hashing. The
// text of a chat consists, for each message, of role, newline, content and newline.
type prompt struct {
	// messages is the number of messages, 1 for a completion prompt.
	messages int
	// textBytes is the length of the text.
	textBytes int
	// structuredBytes is the maximum length of the JSON values that a template can
	// add to the text.
	structuredBytes int
	// tokenIDs is the number of tokens of a prompt that was sent as token IDs.
	tokenIDs int
	// hashedText is the beginning of the text, at most maxHashedBytes.
	hashedText []byte
	// scratch is reused for the members of each message and part, because a body
	// can contain very many of them.
	scratch []member
}

func (p *prompt) read(f format, value gjson.Result) *verdict.Error {
	if f == formatChat {
		return p.readMessages(value)
	}
	return p.readCompletion(value)
}

func (p *prompt) readMessages(value gjson.Result) (failure *verdict.Error) {
	if !value.IsArray() {
		return badRequest("messages must be an array")
	}
	value.ForEach(func(_, message gjson.Result) bool {
		failure = p.readMessage(message)
		return failure == nil
	})
	return failure
}

func (p *prompt) readMessage(message gjson.Result) *verdict.Error {
	if !message.IsObject() {
		return badRequest("a message must be an object")
	}
	members, err := appendMembers(p.scratch[:0], message)
	if err != nil {
		return err
	}
	p.scratch = members
	var role, content gjson.Result
	for _, m := range members {
		switch m.name {
		case "role":
			role = m.value
		case "content":
			content = m.value
		default:
			p.countStructured(m.value)
		}
	}
	if role.Type != gjson.String || role.Str == "" {
		return badRequest("a message must have a role")
	}
	p.messages++
	p.addText(role.Str)
	p.addText("\n")
	if err := p.readContent(content); err != nil {
		return err
	}
	p.addText("\n")
	return nil
}

// readContent adds the content of a message: a string, a list of text parts,
// or null for a message that has only tool calls.
func (p *prompt) readContent(content gjson.Result) (failure *verdict.Error) {
	switch {
	case content.Type == gjson.Null:
		return nil
	case content.Type == gjson.String:
		p.addText(content.Str)
		return nil
	case !content.IsArray():
		return badRequest("the content of a message must be a string or a list of parts")
	}
	content.ForEach(func(_, part gjson.Result) bool {
		failure = p.readPart(part)
		return failure == nil
	})
	return failure
}

// readPart adds one text part. Images and audio are refused, because the number of
// their tokens cannot be bounded from their length here.
func (p *prompt) readPart(part gjson.Result) *verdict.Error {
	if !part.IsObject() {
		return badRequest("a content part must be an object")
	}
	members, err := appendMembers(p.scratch[:0], part)
	if err != nil {
		return err
	}
	p.scratch = members
	var text gjson.Result
	for _, m := range members {
		switch {
		case m.name == "text" || m.name == "refusal":
			text = m.value
		case m.name != "type":
			p.countStructured(m.value)
		case m.value.Str != "text" && m.value.Str != "refusal":
			return badRequest("content parts of type %s are not supported", quoteTruncated(m.value.Str))
		}
	}
	if text.Type != gjson.String {
		return badRequest("a content part must have a text")
	}
	p.addText(text.Str)
	return nil
}

// readCompletion adds the prompt of a completion: a string, a list of one string,
// or a list of token IDs. Several prompts are refused, because they would have
// several responses.
func (p *prompt) readCompletion(value gjson.Result) *verdict.Error {
	const detail = "prompt must be a string, a list of one string, or a list of token ids"
	if value.IsArray() {
		items := value.Array()
		if len(items) == 1 && items[0].Type == gjson.String {
			value = items[0]
		} else {
			for _, item := range items {
				if item.Type != gjson.Number {
					return badRequest(detail)
				}
			}
			p.tokenIDs = len(items)
			p.messages = min(p.tokenIDs, 1)
			return nil
		}
	}
	if value.Type != gjson.String {
		return badRequest(detail)
	}
	if value.Str != "" {
		p.messages = 1
		p.addText(value.Str)
	}
	return nil
}

func (p *prompt) addText(s string) {
	p.textBytes += len(s)
	if room := maxHashedBytes - len(p.hashedText); room > 0 {
		p.hashedText = append(p.hashedText, s[:min(room, len(s))]...)
	}
}

// countStructured counts a JSON value that a template can add to the prompt.
func (p *prompt) countStructured(value gjson.Result) {
	if value.Type == gjson.String || value.Type == gjson.JSON {
		p.structuredBytes += structuredFactor * len(value.Raw)
	}
}

// maxTokens returns an upper bound of the number of tokens of the prompt.
func (p *prompt) maxTokens(m Model) budget.Tokens {
	bytes := float64(p.textBytes + p.structuredBytes)
	tokens := budget.Tokens(math.Ceil(bytes * m.PromptTokensPerByte))
	return tokens + budget.Tokens(p.tokenIDs) + budget.Tokens(p.messages)*m.MessageOverheadTokens
}

// estimateTokens returns the estimated number of tokens of the prompt, at most
// upperBound.
func (p *prompt) estimateTokens(upperBound budget.Tokens) int32 {
	likely := budget.Tokens((p.textBytes+bytesPerToken-1)/bytesPerToken + p.tokenIDs)
	return int32(min(likely, upperBound, math.MaxInt32))
}
