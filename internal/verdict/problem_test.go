package verdict

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// definedCodes returns the constants of type Code in the source, so that the test covers
// codes that are added later.
func definedCodes(t *testing.T) []Code {
	file, err := parser.ParseFile(token.NewFileSet(), "verdict.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var codes []Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Code" {
			for _, v := range spec.Values {
				text, err := strconv.Unquote(v.(*ast.BasicLit).Value)
				qt.Assert(t, err, qt.IsNil)
				codes = append(codes, Code(text))
			}
		}
		return true
	})
	return codes
}

// Guards against a code that is missing in codeInfos, which callers would receive as
// status 500.
func TestEveryCodeHasAStatus(t *testing.T) {
	c := qt.New(t)
	codes := definedCodes(t)
	c.Assert(len(codes) >= 24, qt.IsTrue)
	for _, code := range codes {
		info, ok := codeInfos[code]
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", code))
		c.Assert(info.status >= 400 && info.status < 600 && info.title != "" && info.apiType != "", qt.IsTrue, qt.Commentf("%s", code))
	}
	c.Assert(codeInfos, qt.HasLen, len(codes))
	c.Assert(HTTPStatus("no-such-code"), qt.Equals, 500)
}

// Guards against sending the cause, which may contain a secret, to the caller, and
// against a Retry-After that is rounded down.
func TestProblemBody(t *testing.T) {
	c := qt.New(t)
	e := New(NotRun, CodeOverloaded, "queue is full").WithCause(errors.New("secret"))
	raw, err := json.Marshal(e.Problem("id-1"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(raw), qt.Equals, `{"type":"urn:monsoonworks:problem:overloaded","title":"The request cannot start in time","status":503,"detail":"queue is full","code":"overloaded","verdict":"not-run","request_id":"id-1","error":{"type":"server_error","code":"overloaded","message":"queue is full","verdict":"not-run","request_id":"id-1"}}`)
	c.Assert(RetryAfterSeconds(1001*time.Millisecond), qt.Equals, "2")
	c.Assert(RetryAfterSeconds(time.Millisecond), qt.Equals, "1")
	c.Assert(RetryAfterSeconds(0), qt.Equals, "")
}
