package logger

import (
	"slices"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxTextBytes is the size up to which a text or the text of an error is logged in full. Errors may quote what an upstream
	// or a caller has sent.
	maxTextBytes = 1 << 10
	cutMark      = "..."
)

// boundedCore cuts long texts of the fields.
type boundedCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return boundedCore{c.Core.With(cutFields(fields))}
}

// Check implements zapcore.Core.
func (c boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c boundedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, cutFields(fields))
}

// cutFields returns the fields with long texts cut, in a new slice if there are any.
func cutFields(fields []zapcore.Field) []zapcore.Field {
	cloned := false
	for i, field := range fields {
		text := field.String
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			text = err.Error()
		}
		if len(text) <= maxTextBytes {
			continue
		}
		if !cloned {
			fields, cloned = slices.Clone(fields), true
		}
		fields[i] = zap.String(field.Key, strings.ToValidUTF8(text[:maxTextBytes], "")+cutMark)
	}
	return fields
}
