package questionnaire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
)

// ErrInputEnded means that the input ended before all questions were answered.
var ErrInputEnded = errors.New("input ended before all questions were answered")

// Ask asks all questions on out, reads the answers from in, and returns the
// answers file. An empty line takes the default shown in brackets. A wrong
// answer is asked again. The result may still name things that do not exist;
// Parse finds that.
func Ask(in io.Reader, out io.Writer) ([]byte, error) {
	d := &dialogue{in: bufio.NewScanner(in), out: out}
	answers, err := d.group("", Questions)
	if err != nil {
		return nil, err
	}
	return yaml.Marshal(answers)
}

// dialogue is one run of the questions in a terminal.
type dialogue struct {
	in  *bufio.Scanner
	out io.Writer
}

func (d *dialogue) group(path string, questions []Question) (yaml.MapSlice, error) {
	var answers yaml.MapSlice
	for _, q := range questions {
		value, err := d.answer(join(path, q.Key), q)
		if err != nil {
			return nil, err
		}
		answers = append(answers, yaml.MapItem{Key: q.Key, Value: value})
	}
	return answers, nil
}

func (d *dialogue) answer(path string, q Question) (any, error) {
	switch q.kind {
	case kindGroup:
		return d.group(path, q.items)
	case kindList:
		return d.list(path, q)
	}
	for {
		line, err := d.prompt(q)
		if err != nil {
			return nil, err
		}
		if line == "" && !q.required {
			return q.fallback, nil
		}
		value, err := q.parse(line)
		if err == nil {
			return value, nil
		}
		fmt.Fprintf(d.out, "  question %q: %q is not %s\n", path, line, q.AllowedAnswer())
	}
}

func (d *dialogue) list(path string, q Question) (any, error) {
	items := []yaml.MapSlice{}
	for i := 0; float64(i) < q.high; i++ {
		if float64(i) >= q.low {
			more, err := d.another(q, i)
			if err != nil {
				return nil, err
			}
			if !more {
				break
			}
		}
		fmt.Fprintf(d.out, "%s, number %d\n", q.Text, i+1)
		item, err := d.group(fmt.Sprintf("%s[%d]", path, i), q.items)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

func (d *dialogue) another(q Question, n int) (bool, error) {
	value, err := d.answer(q.Key, Question{
		Key: q.Key, Text: fmt.Sprintf("%s: %d so far. Another one", q.Text, n), kind: kindFlag, fallback: false,
	})
	more, _ := value.(bool)
	return more, err
}

// prompt shows a question and reads one line.
func (d *dialogue) prompt(q Question) (string, error) {
	fmt.Fprintf(d.out, "%s (%s)", q.Text, q.AllowedAnswer())
	if !q.required {
		fmt.Fprintf(d.out, " [%s]", showFallback(q.fallback))
	}
	fmt.Fprint(d.out, ": ")
	if !d.in.Scan() {
		return "", errors.Join(ErrInputEnded, d.in.Err())
	}
	return strings.TrimSpace(d.in.Text()), nil
}

func showFallback(v any) string {
	if names, ok := v.([]any); ok && len(names) == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

// parse reads an answer as it is typed.
func (q Question) parse(line string) (any, error) {
	switch q.kind {
	case kindNames, kindMethods:
		return q.parseNames(line)
	case kindInteger, kindNumber:
		number, err := strconv.ParseFloat(line, 64)
		if err != nil {
			return nil, errAnswer
		}
		return q.scalar(number)
	case kindFlag:
		switch strings.ToLower(line) {
		case "y", "yes", "true":
			return true, nil
		case "n", "no", "false":
			return false, nil
		}
		return nil, errAnswer
	}
	return q.scalar(line)
}

// parseNames reads names that are separated by commas or spaces.
func (q Question) parseNames(line string) (any, error) {
	fields := strings.FieldsFunc(line, func(r rune) bool { return r == ',' || r == ' ' })
	names := []any{}
	for _, field := range fields {
		if q.checkElement(field) != nil {
			return nil, errAnswer
		}
		names = append(names, field)
	}
	if float64(len(names)) < q.low || float64(len(names)) > q.high {
		return nil, errAnswer
	}
	return names, nil
}
