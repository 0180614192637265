// Package differ compares two catalogues by entry and field.
package differ

import (
	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"coltsfootplank/internal/cataloguer"
)

// Error is the class of errors from decoding catalogues and state dumps.
var Error = errs.Class("decode")

// Parse decodes a catalogue and returns it as plain maps and lists, with durations and defaults in a uniform notation.
// Unknown keys are ignored, because the router may be newer than this program.
func Parse(text []byte) (any, error) { return parse(text) }

// ParseStrict is like Parse, but an unknown key is an error.
func ParseStrict(text []byte) (any, error) { return parse(text, yaml.Strict()) }

// ParseAny decodes any YAML or JSON text as plain maps and lists.
func ParseAny(text []byte) (any, error) {
	var value any
	err := yaml.UnmarshalWithOptions(text, &value, yaml.UseOrderedMap())
	return value, Error.Wrap(err)
}

func parse(text []byte, options ...yaml.DecodeOption) (any, error) {
	var catalogue cataloguer.Catalogue
	if err := yaml.UnmarshalWithOptions(text, &catalogue, options...); err != nil {
		return nil, Error.New("%s", yaml.FormatError(err, false, false))
	}
	plain, err := yaml.Marshal(catalogue)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var value any
	err = yaml.Unmarshal(plain, &value)
	return value, Error.Wrap(err)
}
