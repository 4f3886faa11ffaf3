package gateway

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// format is one of the two supported request formats of the OpenAI API.
type format int

const (
	formatChat format = iota
	formatCompletion
)

// modelRequest is the part of a model request that the gateway reads. The body
// itself is forwarded to the engine unchanged.
type modelRequest struct {
	model     string
	stream    bool
	maxOutput budget.Tokens // 0 if the body has no limit
	prompt    prompt
	// members are the top-level members in the order of the body.
	members []member
}

// member is one member of a JSON object.
type member struct {
	name  string
	value gjson.Result
}

// parseModelRequest parses a request body. Every error has CodeBadRequest.
func parseModelRequest(f format, body []byte) (*modelRequest, *verdict.Error) {
	// Engines and this parser could interpret malformed text differently, and then
	// the upper bound would not hold.
	if !utf8.Valid(body) || !json.Valid(body) {
		return nil, badRequest("the body is not valid JSON in UTF-8")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, badRequest("the body is not a JSON object")
	}
	members, err := appendMembers(nil, root)
	if err != nil {
		return nil, err
	}
	req := &modelRequest{members: members}
	for _, m := range members {
		if err := req.readMember(f, m); err != nil {
			return nil, err
		}
	}
	if req.model == "" {
		return nil, badRequest("model is required")
	}
	if req.prompt.messages == 0 {
		return nil, badRequest("%s is required and must not be empty", promptMemberName(f))
	}
	return req, nil
}

// appendMembers appends the members of object to members, which must be empty.
// Duplicate names are an error, because parsers differ in which of them they use.
func appendMembers(members []member, object gjson.Result) ([]member, *verdict.Error) {
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
		return nil, badRequest("the member %s appears twice", quoteTruncated(duplicate))
	}
	if len(members) > maxMembers {
		return nil, badRequest("an object has more than %d members", maxMembers)
	}
	return members, nil
}

// maxMembers is the maximum number of members of the request object, of a message
// and of a content part. The OpenAI API defines about 40; the search for duplicates
// is quadratic.
const maxMembers = 128

func promptMemberName(f format) string {
	if f == formatChat {
		return "messages"
	}
	return "prompt"
}

// readMember reads one top-level member.
func (r *modelRequest) readMember(f format, m member) *verdict.Error {
	if m.name == promptMemberName(f) {
		return r.prompt.read(f, m.value)
	}
	if m.value.Type == gjson.Null {
		return nil // the OpenAI API treats null as absent
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
		r.prompt.countStructured(m.value)
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

// maxQuotedBytes is the maximum length of a caller's text that an error quotes.
const maxQuotedBytes = 64

func quoteTruncated(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return strconv.QuoteToASCII(s)
}
