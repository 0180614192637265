package cataloguer

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// document is the top level of a catalogue file. The entries are decoded one by one, so that a problem can be reported
// for each of them.
type document struct {
	Revision   uint64     `yaml:"revision"`
	Workspaces []ast.Node `yaml:"workspaces"`
	Pools      []ast.Node `yaml:"pools"`
	Works      []ast.Node `yaml:"works"`
}

// Parse decodes a catalogue from YAML and validates it. Unknown fields and duplicate keys are errors. The error is
// ValidationErrors: one problem for each entry that can't be decoded or, if all can be, every invalid value.
func Parse(data []byte) (*Catalogue, error) { return ParseFile("", data) }

// ParseFile is like Parse, but adds a file name to the errors.
func ParseFile(file string, data []byte) (*Catalogue, error) {
	p := &problems{file: file}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		p.addDecodeError("", err)
		return nil, p.err()
	}
	if len(parsed.Docs) > 1 {
		p.add(nil, "", "more than one YAML document")
		return nil, p.err()
	}
	var doc document
	if len(parsed.Docs) == 1 && parsed.Docs[0].Body != nil {
		if err := yaml.NodeToValue(parsed.Docs[0].Body, &doc, yaml.Strict()); err != nil {
			p.addDecodeError("", err)
			return nil, p.err()
		}
	}
	c := &Catalogue{Revision: doc.Revision, Offset: -1}
	c.Workspaces = decodeEntries[Workspace](p, "workspaces", doc.Workspaces)
	c.Pools = decodeEntries[Pool](p, "pools", doc.Pools)
	c.Works = decodeEntries[Work](p, "works", doc.Works)
	if err := p.err(); err != nil {
		return nil, err
	}
	c.validate(p, &doc)
	if err := p.err(); err != nil {
		return nil, err
	}
	return c.Index(), nil
}

func decodeEntries[T any](p *problems, section string, nodes []ast.Node) []T {
	entries := make([]T, len(nodes))
	for i, node := range nodes {
		if err := yaml.NodeToValue(node, &entries[i], yaml.Strict()); err != nil {
			p.addDecodeError(fmt.Sprintf("%s[%d]", section, i), err)
		}
	}
	return entries
}

// Validate checks a catalogue that was not created by Parse. Its errors have no line numbers.
func (c *Catalogue) Validate() error {
	p := &problems{}
	c.validate(p, &document{})
	return p.err()
}

// Marshal returns the catalogue as YAML that Parse accepts.
func (c *Catalogue) Marshal() ([]byte, error) {
	data, err := yaml.Marshal(c)
	return data, Error.Wrap(err)
}

// problems collects validation errors.
type problems struct {
	file string
	list ValidationErrors
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return p.list
}

func (p *problems) add(node ast.Node, field, reason string) {
	line := 0
	if node != nil && node.GetToken() != nil && node.GetToken().Position != nil {
		line = node.GetToken().Position.Line
	}
	p.list = append(p.list, &ValidationError{File: p.file, Line: line, Field: field, Reason: reason})
}

func (p *problems) addDecodeError(field string, err error) {
	problem := &ValidationError{File: p.file, Field: field, Reason: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		problem.Reason = yamlErr.GetMessage()
		if token := yamlErr.GetToken(); token != nil && token.Position != nil {
			problem.Line = token.Position.Line
		}
	}
	p.list = append(p.list, problem)
}

// child returns the value of a key in a mapping node, or the node itself if there is no such key, so that a
// missing field is reported at the line of its entry.
func child(node ast.Node, key string) ast.Node {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	}
	for _, pair := range pairs {
		if pair.Key.String() == key {
			return pair.Value
		}
	}
	return node
}

// item returns an element of a sequence node, or the node itself.
func item(node ast.Node, i int) ast.Node {
	if sequence, ok := node.(*ast.SequenceNode); ok && i < len(sequence.Values) {
		return sequence.Values[i]
	}
	return node
}
