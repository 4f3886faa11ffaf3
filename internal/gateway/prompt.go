package gateway

import (
	"math"

	"github.com/tidwall/gjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/prefix"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// structuredFactor is how many bytes of a prompt one byte of JSON (tools, tool
// calls, schemas) counts for. Chat templates write such values anew: indented,
// or with \u escapes, which make 6 bytes of a 3-byte character.
const structuredFactor = 2

// bytesPerToken is the usual length of a token, for estimates only.
const bytesPerToken = 4

// hashedBytes is the part of a prompt that has block hashes.
const hashedBytes = prefix.BlockBytes * prefix.MaxBlocks

// prompt measures the text of a prompt and keeps its start for hashing. The
// text of a chat is, for each message, role, newline, content, newline.
type prompt struct {
	// messages is the number of messages; a completion prompt is one.
	messages int
	// textBytes is the length of the text, structuredBytes that of JSON values
	// that a template can add to it.
	textBytes       int
	structuredBytes int
	// tokens is the length of a prompt that was given as token ids.
	tokens int
	// head is at most the first hashedBytes of the text.
	head []byte
	// scratch holds the members of one message or part at a time; a body can
	// have very many of them.
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
	members, err := membersOf(p.scratch[:0], message)
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
			p.addStructured(m.value)
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
// or nothing for a message that only has tool calls.
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

// readPart adds one text part. The tokens of images and sound cannot be bounded
// from their length here, so they are refused.
func (p *prompt) readPart(part gjson.Result) *verdict.Error {
	if !part.IsObject() {
		return badRequest("a content part must be an object")
	}
	members, err := membersOf(p.scratch[:0], part)
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
			p.addStructured(m.value)
		case m.value.Str != "text" && m.value.Str != "refusal":
			return badRequest("content parts of type %s are not supported", quoted(m.value.Str))
		}
	}
	if text.Type != gjson.String {
		return badRequest("a content part must have a text")
	}
	p.addText(text.Str)
	return nil
}

// readCompletion adds the prompt of a completion: a string, a list of one
// string, or a list of token ids. Several prompts would have several answers.
func (p *prompt) readCompletion(value gjson.Result) *verdict.Error {
	const wanted = "prompt must be a string, a list of one string, or a list of token ids"
	if value.IsArray() {
		items := value.Array()
		if len(items) == 1 && items[0].Type == gjson.String {
			value = items[0]
		} else {
			for _, item := range items {
				if item.Type != gjson.Number {
					return badRequest(wanted)
				}
			}
			p.tokens = len(items)
			p.messages = min(p.tokens, 1)
			return nil
		}
	}
	if value.Type != gjson.String {
		return badRequest(wanted)
	}
	if value.Str != "" {
		p.messages = 1
		p.addText(value.Str)
	}
	return nil
}

func (p *prompt) addText(s string) {
	p.textBytes += len(s)
	if room := hashedBytes - len(p.head); room > 0 {
		p.head = append(p.head, s[:min(room, len(s))]...)
	}
}

// addStructured counts a value that a template may put into the prompt.
func (p *prompt) addStructured(value gjson.Result) {
	if value.Type == gjson.String || value.Type == gjson.JSON {
		p.structuredBytes += structuredFactor * len(value.Raw)
	}
}

// bound returns the most tokens that the prompt can have.
func (p *prompt) bound(m Model) budget.Tokens {
	bytes := float64(p.textBytes + p.structuredBytes)
	tokens := budget.Tokens(math.Ceil(bytes * m.PromptTokensPerByte))
	return tokens + budget.Tokens(p.tokens) + budget.Tokens(p.messages)*m.MessageOverheadTokens
}

// estimate returns the likely length of the prompt in tokens.
func (p *prompt) estimate(bound budget.Tokens) int32 {
	likely := budget.Tokens((p.textBytes+bytesPerToken-1)/bytesPerToken + p.tokens)
	return int32(min(likely, bound, math.MaxInt32))
}
