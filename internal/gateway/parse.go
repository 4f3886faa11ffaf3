package gateway

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// format is one of the two published request formats.
type format int

const (
	formatChat format = iota
	formatCompletion
)

// modelRequest is what the gateway reads from a model request. The body itself
// goes to the engine as it is.
type modelRequest struct {
	model     string
	stream    bool
	maxOutput budget.Tokens // 0 if the body names no limit
	prompt    prompt
	// members are the top-level members in the order of the body.
	members []member
}

// member is one member of a JSON object.
type member struct {
	name  string
	value gjson.Result
}

// parseModelRequest reads a request body. An error is a bad request.
func parseModelRequest(f format, body []byte) (*modelRequest, *verdict.Error) {
	// Engines and this parser could read malformed text differently, and then
	// the bound would not hold.
	if !utf8.Valid(body) || !json.Valid(body) {
		return nil, badRequest("the body is not valid JSON in UTF-8")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, badRequest("the body is not a JSON object")
	}
	members, err := membersOf(nil, root)
	if err != nil {
		return nil, err
	}
	req := &modelRequest{members: members}
	for _, m := range members {
		if err := req.read(f, m); err != nil {
			return nil, err
		}
	}
	if req.model == "" {
		return nil, badRequest("model is required")
	}
	if req.prompt.messages == 0 {
		return nil, badRequest("%s is required and must not be empty", promptMember(f))
	}
	return req, nil
}

// membersOf appends the members of an object to an empty slice. Duplicate names
// are an error, because parsers differ in which of them counts.
func membersOf(members []member, object gjson.Result) ([]member, *verdict.Error) {
	duplicate := ""
	object.ForEach(func(key, value gjson.Result) bool {
		for _, m := range members {
			if m.name == key.Str {
				duplicate = key.Str
				return false
			}
		}
		members = append(members, member{key.Str, value})
		return len(members) <= maxMembers
	})
	if duplicate != "" {
		return nil, badRequest("the member %s appears twice", quoted(duplicate))
	}
	if len(members) > maxMembers {
		return nil, badRequest("an object has more than %d members", maxMembers)
	}
	return members, nil
}

// maxMembers bounds the members of the request object and of a message. The
// published format has about 40; the search for duplicates is quadratic.
const maxMembers = 128

func promptMember(f format) string {
	if f == formatChat {
		return "messages"
	}
	return "prompt"
}

// read takes one top-level member into account.
func (r *modelRequest) read(f format, m member) *verdict.Error {
	if m.name == promptMember(f) {
		return r.prompt.read(f, m.value)
	}
	if m.value.Type == gjson.Null {
		return nil // the published format treats null as absent
	}
	switch m.name {
	case "model":
		if m.value.Type != gjson.String {
			return badRequest("model must be a string")
		}
		r.model = m.value.Str
	case "stream":
		if !m.value.IsBool() {
			return badRequest("stream must be true or false")
		}
		r.stream = m.value.Bool()
	case "max_tokens", "max_completion_tokens":
		return r.readMaxOutput(m)
	case "n", "best_of":
		if m.value.Raw != "1" {
			return badRequest("%s must be 1 or absent", m.name)
		}
	case "priority":
		return badRequest("priority cannot be set by callers")
	default:
		r.prompt.addStructured(m.value)
	}
	return nil
}

func (r *modelRequest) readMaxOutput(m member) *verdict.Error {
	n, err := strconv.ParseInt(m.value.Raw, 10, 64)
	if m.value.Type != gjson.Number || err != nil || n <= 0 {
		return badRequest("%s must be a positive integer", m.name)
	}
	if r.maxOutput != 0 && r.maxOutput != budget.Tokens(n) {
		return badRequest("max_tokens and max_completion_tokens differ")
	}
	r.maxOutput = budget.Tokens(n)
	return nil
}

// maxQuotedBytes bounds how much of a caller's text an error repeats.
const maxQuotedBytes = 64

func quoted(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return strconv.QuoteToASCII(s)
}
