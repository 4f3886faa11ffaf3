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

// Ask prompts for all questions on out, reads the answers from in, and returns the
// answers file in YAML. An empty line accepts the default shown in brackets. After
// an invalid answer the question is repeated. References between answers are not
// checked; Parse does that. Ask fails with ErrInputEnded if in ends early.
func Ask(in io.Reader, out io.Writer) ([]byte, error) {
	d := &dialogue{in: bufio.NewScanner(in), out: out}
	answers, err := d.group("", Questions)
	if err != nil {
		return nil, err
	}
	return yaml.Marshal(answers)
}

// dialogue is one interactive run of the questionnaire.
type dialogue struct {
	in  *bufio.Scanner
	out io.Writer
}

func (d *dialogue) group(path string, questions []Question) (yaml.MapSlice, error) {
	var answers yaml.MapSlice
	for _, q := range questions {
		value, err := d.answer(joinPath(path, q.Key), q)
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
			return q.defaultAnswer, nil
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
			more, err := d.askAnother(q, i)
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

func (d *dialogue) askAnother(q Question, n int) (bool, error) {
	value, err := d.answer(q.Key, Question{
		Key: q.Key, Text: fmt.Sprintf("%s: %d so far. Another one", q.Text, n), kind: kindBool, defaultAnswer: false,
	})
	more, _ := value.(bool)
	return more, err
}

// prompt writes the prompt of a question and reads one line.
func (d *dialogue) prompt(q Question) (string, error) {
	fmt.Fprintf(d.out, "%s (%s)", q.Text, q.AllowedAnswer())
	if !q.required {
		fmt.Fprintf(d.out, " [%s]", formatDefault(q.defaultAnswer))
	}
	fmt.Fprint(d.out, ": ")
	if !d.in.Scan() {
		return "", errors.Join(ErrInputEnded, d.in.Err())
	}
	return strings.TrimSpace(d.in.Text()), nil
}

func formatDefault(v any) string {
	if names, ok := v.([]any); ok && len(names) == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

// parse parses and validates an answer typed on one line.
func (q Question) parse(line string) (any, error) {
	switch q.kind {
	case kindNames, kindMethods:
		return q.parseNames(line)
	case kindInteger, kindNumber:
		number, err := strconv.ParseFloat(line, 64)
		if err != nil {
			return nil, errNotAllowed
		}
		return q.checkScalar(number)
	case kindBool:
		switch strings.ToLower(line) {
		case "y", "yes", "true":
			return true, nil
		case "n", "no", "false":
			return false, nil
		}
		return nil, errNotAllowed
	}
	return q.checkScalar(line)
}

// parseNames parses names separated by commas or spaces.
func (q Question) parseNames(line string) (any, error) {
	fields := strings.FieldsFunc(line, func(r rune) bool { return r == ',' || r == ' ' })
	names := []any{}
	for _, field := range fields {
		if q.checkName(field) != nil {
			return nil, errNotAllowed
		}
		names = append(names, field)
	}
	if float64(len(names)) < q.low || float64(len(names)) > q.high {
		return nil, errNotAllowed
	}
	return names, nil
}
