package loader

import (
	"errors"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

var durationType = reflect.TypeFor[time.Duration]()

// Decode reads YAML text into target, a pointer to a struct that may hold defaults, and checks the rules of its
// tags. The file name is used in the problems only. The result is nil if there are no problems.
func Decode(file string, data []byte, target any) SettingsErrors {
	d, problems := decode(file, data, target)
	if problems != nil {
		return problems
	}
	d.locate(checkTags(target, d.failed))
	d.problems.sort()
	return d.problems
}

// decode fills target without checking ranges. It returns fatal problems (syntax errors) only; the decoder collects the
// others.
func decode(file string, data []byte, target any) (*decoder, SettingsErrors) {
	d := &decoder{file: file, lines: map[string]int{"": 1}, failed: map[string]bool{}}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, SettingsErrors{syntaxProblem(file, err)}
	}
	for i, document := range tree.Docs {
		if i > 0 {
			return nil, SettingsErrors{&SyntaxError{
				Position: Position{File: file, Line: document.GetToken().Position.Line},
				Message:  "more than one document",
			}}
		}
		if document.Body != nil {
			d.value("", document.Body, reflect.ValueOf(target).Elem(), "")
		}
	}
	return d, nil
}

func syntaxProblem(file string, err error) Problem {
	problem := &SyntaxError{Position: Position{File: file, Line: 1}, Message: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		problem.Message = yamlErr.GetMessage()
		if token := yamlErr.GetToken(); token != nil && token.Position != nil {
			problem.Line = token.Position.Line
		}
	}
	return problem
}

// decoder walks the YAML tree and the target struct in parallel. It continues after a problem, so that all problems are
// found.
type decoder struct {
	file     string
	lines    map[string]int
	failed   map[string]bool
	problems SettingsErrors
}

func (d *decoder) at(path string, node ast.Node) Position {
	return Position{File: d.file, Line: node.GetToken().Position.Line, Field: path}
}

func (d *decoder) add(path string, problem Problem) {
	d.failed[path] = true
	d.problems = append(d.problems, problem)
}

// locate sets the file and line of problems found after decoding. A missing key gets the line of its parent.
func (d *decoder) locate(found SettingsErrors) {
	for _, problem := range found {
		position := problem.At()
		position.File = d.file
		for path := position.Field; ; path = parentPath(path) {
			if line, ok := d.lines[path]; ok {
				position.Line = line
				break
			}
		}
		d.problems = append(d.problems, problem)
	}
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *decoder) value(path string, node ast.Node, target reflect.Value, unit string) {
	if _, seen := d.lines[path]; !seen {
		d.lines[path] = node.GetToken().Position.Line
	}
	switch {
	case target.Type() == durationType:
		d.duration(path, node, target)
	case target.Kind() == reflect.Struct:
		d.structure(path, node, target)
	case target.Kind() == reflect.Slice:
		d.list(path, node, target, unit)
	default:
		d.scalar(path, node, target, unit)
	}
}

func (d *decoder) structure(path string, node ast.Node, target reflect.Value) {
	if _, empty := node.(*ast.NullNode); empty {
		return
	}
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.add(path, &WrongTypeError{Position: d.at(path, node), Value: nodeText(node), Want: "a mapping"})
		return
	}
	fields := fieldsOf(target.Type())
	for entries := mapping.MapRange(); entries.Next(); {
		key := nodeText(entries.Key())
		child := joinPath(path, key)
		field, known := fields.find(key)
		if !known {
			d.add(child, &UnknownKeyError{Position: d.at(child, entries.Key()), Known: fields.keys()})
			continue
		}
		d.lines[child] = entries.Key().GetToken().Position.Line
		d.value(child, entries.Value(), target.Field(field.index), field.unit)
	}
}

func (d *decoder) list(path string, node ast.Node, target reflect.Value, unit string) {
	if _, empty := node.(*ast.NullNode); empty {
		return
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(path, &WrongTypeError{Position: d.at(path, node), Value: nodeText(node), Want: "a list"})
		return
	}
	items := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		d.value(path+"["+strconv.Itoa(i)+"]", item, items.Index(i), unit)
	}
	target.Set(items)
}

func (d *decoder) duration(path string, node ast.Node, target reflect.Value) {
	text := nodeText(node)
	value, err := time.ParseDuration(text)
	if _, isString := node.(*ast.StringNode); err != nil || !isString {
		d.add(path, &WrongUnitError{Position: d.at(path, node), Value: text,
			Want: "a duration with its unit, such as 200ms, 5s or 10m"})
		return
	}
	target.SetInt(int64(value))
}

// scalar decodes one scalar value. A string such as "4MiB" for a number is reported as a wrong unit, because the unit
// is fixed by the setting and not part of the value.
func (d *decoder) scalar(path string, node ast.Node, target reflect.Value, unit string) {
	text := nodeText(node)
	want := wantedText(target.Kind(), unit)
	wrong := func() { d.add(path, &WrongTypeError{Position: d.at(path, node), Value: text, Want: want}) }
	switch typed := node.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		if target.Kind() == reflect.String {
			target.SetString(text)
			return
		}
		if isNumber(target.Kind()) && text != "" && (text[0] >= '0' && text[0] <= '9') {
			d.add(path, &WrongUnitError{Position: d.at(path, node), Value: text, Want: want})
			return
		}
		wrong()
	case *ast.BoolNode:
		if target.Kind() != reflect.Bool {
			wrong()
			return
		}
		target.SetBool(typed.Value)
	case *ast.IntegerNode, *ast.FloatNode:
		if !isNumber(target.Kind()) || yaml.NodeToValue(node, target.Addr().Interface()) != nil {
			wrong()
			return
		}
		if _, fraction := node.(*ast.FloatNode); fraction && target.Kind() != reflect.Float64 {
			wrong()
		}
	default:
		wrong()
	}
}

func isNumber(kind reflect.Kind) bool {
	return kind == reflect.Float64 || kind >= reflect.Int && kind <= reflect.Uint64
}

func wantedText(kind reflect.Kind, unit string) string {
	want := "a text"
	switch {
	case kind == reflect.Bool:
		want = "true or false"
	case kind == reflect.Float64:
		want = "a number"
	case isNumber(kind):
		want = "a whole number"
	}
	if unit != "" && isNumber(kind) {
		want += " (" + unit + ", without a unit)"
	}
	return want
}

func nodeText(node ast.Node) string {
	if literal, ok := node.(*ast.LiteralNode); ok {
		return literal.Value.Value
	}
	if text, ok := node.(*ast.StringNode); ok {
		return text.Value
	}
	return node.GetToken().Value
}
