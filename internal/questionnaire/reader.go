package questionnaire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"unicode"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Forms of names; the configuration checks the same.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	targetPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// errAnswer means that an answer is not what the question allows.
var errAnswer = errors.New("not allowed")

// faultAt returns the error for the answer at a path.
func faultAt(line int, path, text string) error {
	if line == 0 {
		return fmt.Errorf("question %q: %s", path, text)
	}
	return fmt.Errorf("line %d: question %q: %s", line, path, text)
}

// reader checks the answers of a YAML document against the questions and fills
// in the answers that were not given.
type reader struct {
	lines     map[string]int
	defaulted map[string]bool
	faults    []error
}

func (r *reader) fail(line int, path, format string, args ...any) {
	r.faults = append(r.faults, faultAt(line, path, fmt.Sprintf(format, args...)))
}

func (r *reader) read(data []byte) map[string]any {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.faults = append(r.faults, errors.New(yaml.FormatError(err, false, true)))
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.faults = append(r.faults, errors.New("the answers must be one YAML document"))
		return nil
	}
	return r.group("", Questions, file.Docs[0].Body)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// group reads the answers to a group of questions.
func (r *reader) group(path string, questions []Question, node ast.Node) map[string]any {
	given := map[string]ast.Node{}
	mapping, ok := node.(ast.MapNode)
	if !ok {
		r.fail(lineOf(node), path, "must be a group of answers: %s", keys(questions))
		return nil
	}
	for it := mapping.MapRange(); it.Next(); {
		key := it.Key().String()
		i := slices.IndexFunc(questions, func(q Question) bool { return q.Key == key })
		switch {
		case i < 0:
			r.fail(lineOf(it.Key()), join(path, key), "there is no such question; the questions are %s", keys(questions))
		case given[key] != nil:
			r.fail(lineOf(it.Key()), join(path, key), "is answered twice")
		default:
			given[key] = it.Value()
			r.lines[join(path, key)] = lineOf(it.Key())
		}
	}
	answers := map[string]any{}
	for _, q := range questions {
		answers[q.Key] = r.answer(join(path, q.Key), q, given[q.Key], lineOf(node))
	}
	return answers
}

func keys(questions []Question) string {
	var names []string
	for _, q := range questions {
		names = append(names, q.Key)
	}
	return strings.Join(names, ", ")
}

// answer reads one answer. groupLine is the line of the group that it is in.
func (r *reader) answer(path string, q Question, node ast.Node, groupLine int) any {
	if _, null := node.(*ast.NullNode); null {
		node = nil
	}
	if node == nil {
		return r.missing(path, q, groupLine)
	}
	switch q.kind {
	case kindGroup:
		return r.group(path, q.items, node)
	case kindList:
		return r.list(path, q, node)
	case kindNames, kindMethods:
		return r.names(path, q, node)
	}
	value, err := q.scalar(scalarOf(node))
	if err != nil {
		r.fail(lineOf(node), path, "%s is not %s", node.String(), q.AllowedAnswer())
	}
	return value
}

// missing returns the default answer.
func (r *reader) missing(path string, q Question, groupLine int) any {
	if q.required {
		r.fail(groupLine, path, "must be answered with %s", q.AllowedAnswer())
		return nil
	}
	r.defaulted[path] = true
	switch q.kind {
	case kindGroup:
		answers := map[string]any{}
		for _, item := range q.items {
			answers[item.Key] = r.missing(join(path, item.Key), item, groupLine)
		}
		return answers
	case kindList:
		return []any{}
	}
	return q.fallback
}

func (r *reader) list(path string, q Question, node ast.Node) any {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok || float64(len(sequence.Values)) < q.low || float64(len(sequence.Values)) > q.high {
		r.fail(lineOf(node), path, "must be %s", q.AllowedAnswer())
		return nil
	}
	items := []any{}
	for i, value := range sequence.Values {
		item := fmt.Sprintf("%s[%d]", path, i)
		r.lines[item] = lineOf(value)
		items = append(items, r.group(item, q.items, value))
	}
	return items
}

func (r *reader) names(path string, q Question, node ast.Node) any {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok || float64(len(sequence.Values)) < q.low || float64(len(sequence.Values)) > q.high {
		r.fail(lineOf(node), path, "%s is not %s", strings.TrimSpace(node.String()), q.AllowedAnswer())
		return nil
	}
	names := []any{}
	for _, value := range sequence.Values {
		name, ok := scalarOf(value).(string)
		if !ok || q.checkElement(name) != nil {
			r.fail(lineOf(value), path, "%s is not allowed in %s", value.String(), q.AllowedAnswer())
		}
		if slices.Contains(names, any(name)) {
			r.fail(lineOf(value), path, "%q appears twice", name)
		}
		names = append(names, name)
	}
	return names
}

// lineOf returns the line of a node, for a mapping that of its first key.
func lineOf(node ast.Node) int {
	if m, ok := node.(ast.MapNode); ok {
		if it := m.MapRange(); it.Next() {
			return it.Key().GetToken().Position.Line
		}
	}
	return node.GetToken().Position.Line
}

// scalarOf returns the value of a node, nil if it is no plain value.
func scalarOf(node ast.Node) any {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.BoolNode:
		return n.Value
	case *ast.FloatNode:
		return n.Value
	case *ast.IntegerNode:
		switch v := n.Value.(type) {
		case int64:
			return float64(v)
		case uint64:
			return float64(v)
		}
	}
	return nil
}

// scalar checks a value that is a string, a float64, a bool or nil.
func (q Question) scalar(value any) (any, error) {
	text, isText := value.(string)
	number, isNumber := value.(float64)
	ok := false
	switch q.kind {
	case kindName, kindTarget:
		// A name of digits only reads as a number, and is allowed in quotes.
		ok = isText && q.checkElement(text) == nil
	case kindText:
		ok = isText && float64(len(text)) >= q.low && float64(len(text)) <= q.high &&
			!strings.ContainsFunc(text, unicode.IsControl)
	case kindInteger:
		ok = isNumber && number == math.Trunc(number) && number >= q.low && number <= q.high
	case kindNumber:
		ok = isNumber && number >= q.low && number <= q.high
	case kindFlag:
		_, ok = value.(bool)
	case kindChoice:
		ok = isText && slices.Contains(q.choices, text)
	}
	if !ok {
		return nil, errAnswer
	}
	if q.kind == kindInteger {
		return int64(number), nil
	}
	return value, nil
}

// checkElement checks a name by the form that the question asks for. The names
// in a list may be those of models, so they have the wider form.
func (q Question) checkElement(name string) error {
	form := targetPattern
	switch {
	case q.kind == kindName || q.short:
		form = namePattern
	case q.kind == kindMethods:
		form = methodPattern
	}
	if !form.MatchString(name) {
		return errAnswer
	}
	return nil
}
