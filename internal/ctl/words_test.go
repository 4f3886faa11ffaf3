package ctl

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Guards against a code that the tool cannot explain.
func TestEveryCodeHasWords(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("../verdict/verdict.go")
	c.Assert(err, qt.IsNil)
	codes := regexp.MustCompile(`Code\w+\s+Code = "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	c.Assert(len(codes) >= 24, qt.IsTrue)
	for _, code := range codes {
		w, ok := words[verdict.Code(code[1])]
		c.Assert(ok && w.Reason != "" && w.Remedy != "", qt.IsTrue, qt.Commentf("%s", code[1]))
	}
	c.Assert(words, qt.HasLen, len(codes))
}
