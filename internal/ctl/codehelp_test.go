package ctl

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Guards against a code in package verdict without a help text.
func TestEveryCodeHasHelp(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("../verdict/verdict.go")
	c.Assert(err, qt.IsNil)
	codes := regexp.MustCompile(`Code\w+\s+Code = "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	c.Assert(len(codes) >= 24, qt.IsTrue)
	for _, code := range codes {
		help, ok := helpByCode[verdict.Code(code[1])]
		c.Assert(ok && help.Reason != "" && help.Remedy != "", qt.IsTrue, qt.Commentf("%s", code[1]))
	}
	c.Assert(helpByCode, qt.HasLen, len(codes))
}
