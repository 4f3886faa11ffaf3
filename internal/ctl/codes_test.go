package ctl

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Guards against an error code without a description.
func TestEveryCodeHasDescription(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("../verdict/verdict.go")
	c.Assert(err, qt.IsNil)
	codes := regexp.MustCompile(`Code\w+\s+Code = "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	c.Assert(len(codes) >= 24, qt.IsTrue)
	for _, code := range codes {
		d, ok := codeDescriptions[verdict.Code(code[1])]
		c.Assert(ok && d.Reason != "" && d.Help != "", qt.IsTrue, qt.Commentf("%s", code[1]))
	}
	c.Assert(codeDescriptions, qt.HasLen, len(codes))
}
