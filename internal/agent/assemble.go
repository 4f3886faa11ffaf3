package agent

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// finishLength is the finish reason of a choice that reached its token limit.
const finishLength = "length"

// assembler builds a non-streamed response from the chunks of a stream.
type assembler struct {
	chat    bool
	id      string
	model   string
	created int64
	choices map[int]*choice
}

// choice is one choice of the response under construction.
type choice struct {
	role         string
	text         map[string]*strings.Builder // by field name
	toolCalls    map[int]*toolCall
	finishReason string
	logprobs     []json.RawMessage
}

type toolCall struct {
	id, kind  string
	name      strings.Builder
	arguments strings.Builder
}

func newAssembler(chat bool) *assembler {
	return &assembler{chat: chat, choices: make(map[int]*choice)}
}

// add adds one chunk.
func (asm *assembler) add(chunk string) error {
	root := gjson.Parse(chunk)
	if asm.id == "" {
		asm.id, asm.model, asm.created = root.Get("id").Str, root.Get("model").Str, root.Get("created").Int()
	}
	root.Get("choices").ForEach(func(_, c gjson.Result) bool {
		asm.choice(int(c.Get("index").Int())).add(c)
		return true
	})
	return nil
}

func (asm *assembler) choice(index int) *choice {
	c := asm.choices[index]
	if c == nil {
		c = &choice{role: "assistant", text: make(map[string]*strings.Builder), toolCalls: make(map[int]*toolCall)}
		asm.choices[index] = c
	}
	return c
}

func (c *choice) add(chunk gjson.Result) {
	if reason := chunk.Get("finish_reason").Str; reason != "" {
		c.finishReason = reason
	}
	chunk.Get("logprobs.content").ForEach(func(_, value gjson.Result) bool {
		c.logprobs = append(c.logprobs, json.RawMessage(value.Raw))
		return true
	})
	if text := chunk.Get("text"); text.Exists() {
		c.appendText("text", text.Str)
	}
	chunk.Get("delta").ForEach(func(key, value gjson.Result) bool {
		switch {
		case key.Str == "role":
			c.role = value.Str
		case key.Str == "tool_calls":
			value.ForEach(func(_, call gjson.Result) bool {
				c.addToolCall(call)
				return true
			})
		case value.Type == gjson.String:
			c.appendText(key.Str, value.Str)
		}
		return true
	})
}

func (c *choice) appendText(field, text string) {
	b := c.text[field]
	if b == nil {
		b = &strings.Builder{}
		c.text[field] = b
	}
	b.WriteString(text)
}

func (c *choice) addToolCall(part gjson.Result) {
	index := int(part.Get("index").Int())
	t := c.toolCalls[index]
	if t == nil {
		t = &toolCall{kind: "function"}
		c.toolCalls[index] = t
	}
	if id := part.Get("id").Str; id != "" {
		t.id = id
	}
	if kind := part.Get("type").Str; kind != "" {
		t.kind = kind
	}
	t.name.WriteString(part.Get("function.name").Str)
	t.arguments.WriteString(part.Get("function.arguments").Str)
}

type usageObject struct {
	Prompt budget.Tokens `json:"prompt_tokens"`
	Output budget.Tokens `json:"completion_tokens"`
	Total  budget.Tokens `json:"total_tokens"`
}

func newUsageObject(prompt, output budget.Tokens) usageObject {
	return usageObject{Prompt: prompt, Output: output, Total: prompt + output}
}

// build returns the complete response. With truncated set, choices without a
// finish reason get "length".
func (asm *assembler) build(truncated bool, prompt, output budget.Tokens) ([]byte, error) {
	object := "text_completion"
	if asm.chat {
		object = "chat.completion"
	}
	if len(asm.choices) == 0 {
		asm.choice(0)
	}
	indexes := make([]int, 0, len(asm.choices))
	for index := range asm.choices {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	choices := make([]map[string]any, 0, len(indexes))
	for _, index := range indexes {
		choices = append(choices, asm.choices[index].object(index, asm.chat, truncated))
	}
	return json.Marshal(struct {
		ID      string           `json:"id"`
		Object  string           `json:"object"`
		Created int64            `json:"created"`
		Model   string           `json:"model"`
		Choices []map[string]any `json:"choices"`
		Usage   usageObject      `json:"usage"`
	}{asm.id, object, asm.created, asm.model, choices, newUsageObject(prompt, output)})
}

func (c *choice) object(index int, chat, truncated bool) map[string]any {
	out := map[string]any{"index": index, "logprobs": nil}
	if c.logprobs != nil {
		out["logprobs"] = map[string]any{"content": c.logprobs}
	}
	reason := c.finishReason
	if reason == "" && truncated {
		reason = finishLength
	}
	out["finish_reason"] = reason
	if !chat {
		out["text"] = c.textOf("text")
		return out
	}
	message := map[string]any{"role": c.role, "content": c.textOf("content")}
	for field := range c.text {
		message[field] = c.textOf(field)
	}
	if len(c.toolCalls) > 0 {
		message["tool_calls"] = c.toolCallObjects()
	}
	out["message"] = message
	return out
}

func (c *choice) textOf(field string) string {
	if b := c.text[field]; b != nil {
		return b.String()
	}
	return ""
}

func (c *choice) toolCallObjects() []any {
	indexes := make([]int, 0, len(c.toolCalls))
	for index := range c.toolCalls {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	calls := make([]any, 0, len(indexes))
	for _, index := range indexes {
		t := c.toolCalls[index]
		calls = append(calls, map[string]any{
			"id": t.id, "type": t.kind,
			"function": map[string]string{"name": t.name.String(), "arguments": t.arguments.String()},
		})
	}
	return calls
}

// emptyChunk returns a chunk without choices. It is the template for the end of
// a response that reached its token limit before any chunk with choices was
// forwarded.
func emptyChunk(at *attempt, chat bool) string {
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
	}
	encoded, _ := json.Marshal(map[string]any{
		"id": at.id.String(), "object": object, "created": at.acceptedAt.Unix(), "model": at.req.Target,
		"choices": []any{},
	})
	return string(encoded)
}

// truncatedChunk returns the final chunk of a response that reached its token
// limit, based on an earlier chunk.
func truncatedChunk(template string, chat bool) (string, error) {
	last := map[string]any{"index": gjson.Get(template, "choices.0.index").Int(), "finish_reason": finishLength}
	if chat {
		last["delta"] = map[string]string{}
	} else {
		last["text"] = ""
	}
	return rewriteChunk(template, map[string]any{"choices": []any{last}})
}

// usageChunk returns the chunk that reports the usage, based on an earlier
// chunk.
func usageChunk(template string, prompt, output budget.Tokens) (string, error) {
	return rewriteChunk(template, map[string]any{"choices": []any{}, "usage": newUsageObject(prompt, output)})
}

// rewriteChunk sets fields of a chunk, removes its usage and gives it an empty
// list of token IDs.
func rewriteChunk(template string, fields map[string]any) (string, error) {
	chunk, err := sjson.Delete(template, "usage")
	if err != nil {
		return "", err
	}
	if chunk, err = sjson.Set(chunk, "token_ids", []int{}); err != nil {
		return "", err
	}
	for name, value := range fields {
		if chunk, err = sjson.Set(chunk, name, value); err != nil {
			return "", err
		}
	}
	return chunk, nil
}
