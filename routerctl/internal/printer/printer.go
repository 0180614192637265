// Package printer writes values as YAML or JSON.
package printer

import (
	"encoding/json"
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of errors from encoding or writing output.
var Error = errs.Class("print")

// Format is an output format.
type Format string

// Output formats.
const (
	YAML Format = "yaml"
	JSON Format = "json"
)

// Print writes the value with keys in snake case. Structs need yaml tags; JSON is generated from the YAML form, so that
// both have the same keys.
func Print(out io.Writer, format Format, value any) error {
	text, err := yaml.MarshalWithOptions(value, yaml.CustomMarshaler(durationText))
	if err != nil {
		return Error.Wrap(err)
	}
	if format == JSON {
		var plain any
		if err := yaml.Unmarshal(text, &plain); err != nil {
			return Error.Wrap(err)
		}
		if text, err = json.MarshalIndent(plain, "", "  "); err != nil {
			return Error.Wrap(err)
		}
		text = append(text, '\n')
	}
	_, err = out.Write(text)
	return Error.Wrap(err)
}

func durationText(d time.Duration) ([]byte, error) { return []byte(d.String()), nil }
