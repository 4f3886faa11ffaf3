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

// Patterns of names. Package config validates the same ones.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	targetPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// errNotAllowed means that the question does not accept an answer.
var errNotAllowed = errors.New("not allowed")

// answerError returns an error about the answer at a path. line is 0 if it is not
// known.
func answerError(line int, path, text string) error {
	if line == 0 {
		return fmt.Errorf("question %q: %s", path, text)
	}
	return fmt.Errorf("line %d: question %q: %s", line, path, text)
}

// reader validates the answers of a YAML document against the questions, fills in
// the default answers and collects the errors.
type reader struct {
	lines     map[string]int
	defaulted map[string]bool
	errs      []error
}

func (r *reader) addError(line int, path, format string, args ...any) {
	r.errs = append(r.errs, answerError(line, path, fmt.Sprintf(format, args...)))
}

func (r *reader) read(data []byte) map[string]any {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.errs = append(r.errs, errors.New(yaml.FormatError(err, false, true)))
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.errs = append(r.errs, errors.New("the answers must be one YAML document"))
		return nil
	}
	return r.group("", Questions, file.Docs[0].Body)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// group reads the answers to a group of questions. It returns nil if node is not a
// mapping.
func (r *reader) group(path string, questions []Question, node ast.Node) map[string]any {
	given := map[string]ast.Node{}
	mapping, ok := node.(ast.MapNode)
	if !ok {
		r.addError(lineOf(node), path, "must be a group of answers: %s", questionKeys(questions))
		return nil
	}
	for it := mapping.MapRange(); it.Next(); {
		key := it.Key().String()
		i := slices.IndexFunc(questions, func(q Question) bool { return q.Key == key })
		switch {
		case i < 0:
			r.addError(lineOf(it.Key()), joinPath(path, key), "there is no such question; the questions are %s", questionKeys(questions))
		case given[key] != nil:
			r.addError(lineOf(it.Key()), joinPath(path, key), "is answered twice")
		default:
			given[key] = it.Value()
			r.lines[joinPath(path, key)] = lineOf(it.Key())
		}
	}
	answers := map[string]any{}
	for _, q := range questions {
		answers[q.Key] = r.answer(joinPath(path, q.Key), q, given[q.Key], lineOf(node))
	}
	return answers
}

func questionKeys(questions []Question) string {
	var names []string
	for _, q := range questions {
		names = append(names, q.Key)
	}
	return strings.Join(names, ", ")
}

// answer reads one answer. groupLine is the line of the enclosing group, for errors
// about a missing answer.
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
	value, err := q.checkScalar(scalarOf(node))
	if err != nil {
		r.addError(lineOf(node), path, "%s is not %s", node.String(), q.AllowedAnswer())
	}
	return value
}

// missing returns the default answer and records that it applies. For a required
// question it records an error.
func (r *reader) missing(path string, q Question, groupLine int) any {
	if q.required {
		r.addError(groupLine, path, "must be answered with %s", q.AllowedAnswer())
		return nil
	}
	r.defaulted[path] = true
	switch q.kind {
	case kindGroup:
		answers := map[string]any{}
		for _, item := range q.items {
			answers[item.Key] = r.missing(joinPath(path, item.Key), item, groupLine)
		}
		return answers
	case kindList:
		return []any{}
	}
	return q.defaultAnswer
}

func (r *reader) list(path string, q Question, node ast.Node) any {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok || float64(len(sequence.Values)) < q.low || float64(len(sequence.Values)) > q.high {
		r.addError(lineOf(node), path, "must be %s", q.AllowedAnswer())
		return nil
	}
	items := []any{}
	for i, value := range sequence.Values {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		r.lines[itemPath] = lineOf(value)
		items = append(items, r.group(itemPath, q.items, value))
	}
	return items
}

func (r *reader) names(path string, q Question, node ast.Node) any {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok || float64(len(sequence.Values)) < q.low || float64(len(sequence.Values)) > q.high {
		r.addError(lineOf(node), path, "%s is not %s", strings.TrimSpace(node.String()), q.AllowedAnswer())
		return nil
	}
	names := []any{}
	for _, value := range sequence.Values {
		name, ok := scalarOf(value).(string)
		if !ok || q.checkName(name) != nil {
			r.addError(lineOf(value), path, "%s is not allowed in %s", value.String(), q.AllowedAnswer())
		}
		if slices.Contains(names, any(name)) {
			r.addError(lineOf(value), path, "%q appears twice", name)
		}
		names = append(names, name)
	}
	return names
}

// lineOf returns the line of a node, or for a mapping the line of its first key.
func lineOf(node ast.Node) int {
	if m, ok := node.(ast.MapNode); ok {
		if it := m.MapRange(); it.Next() {
			return it.Key().GetToken().Position.Line
		}
	}
	return node.GetToken().Position.Line
}

// scalarOf returns the value of a scalar node, nil for any other node. Integers are
// converted to float64.
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

// checkScalar validates a value that is a string, a float64, a bool or nil. It
// returns an int64 for a question of kindInteger, and value otherwise.
func (q Question) checkScalar(value any) (any, error) {
	text, isText := value.(string)
	number, isNumber := value.(float64)
	ok := false
	switch q.kind {
	case kindName, kindTarget:
		// YAML decodes an unquoted name of digits as a number; it must be quoted.
		ok = isText && q.checkName(text) == nil
	case kindText:
		ok = isText && float64(len(text)) >= q.low && float64(len(text)) <= q.high &&
			!strings.ContainsFunc(text, unicode.IsControl)
	case kindInteger:
		ok = isNumber && number == math.Trunc(number) && number >= q.low && number <= q.high
	case kindNumber:
		ok = isNumber && number >= q.low && number <= q.high
	case kindBool:
		_, ok = value.(bool)
	case kindChoice:
		ok = isText && slices.Contains(q.choices, text)
	}
	if !ok {
		return nil, errNotAllowed
	}
	if q.kind == kindInteger {
		return int64(number), nil
	}
	return value, nil
}

// checkName checks a name against the pattern that the question requires. Names in a
// list may be those of models, so the wider pattern applies to them unless
// shortNames is set.
func (q Question) checkName(name string) error {
	pattern := targetPattern
	switch {
	case q.kind == kindName || q.shortNames:
		pattern = namePattern
	case q.kind == kindMethods:
		pattern = methodPattern
	}
	if !pattern.MatchString(name) {
		return errNotAllowed
	}
	return nil
}
