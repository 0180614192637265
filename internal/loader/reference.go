package loader

import (
	"fmt"
	"reflect"
	"strings"
)

// SettingEntry describes one setting for the printed reference. Range is empty if any value is allowed.
type SettingEntry struct {
	Field    string `yaml:"field" json:"field"`
	Type     string `yaml:"type" json:"type"`
	Unit     string `yaml:"unit,omitempty" json:"unit,omitempty"`
	Default  string `yaml:"default" json:"default"`
	Range    string `yaml:"range,omitempty" json:"range,omitempty"`
	Required bool   `yaml:"required,omitempty" json:"required,omitempty"`
	Help     string `yaml:"help" json:"help"`
}

// Reference describes all settings of the router in the order of the structs.
func Reference() []SettingEntry {
	defaults := Defaults()
	return Describe(&defaults)
}

// Describe returns the entries for the fields of a struct that holds defaults, given by pointer.
func Describe(defaults any) []SettingEntry {
	return describe("", reflect.ValueOf(defaults).Elem(), nil)
}

func describe(path string, structure reflect.Value, entries []SettingEntry) []SettingEntry {
	for _, f := range fieldsOf(structure.Type()) {
		value, child := structure.Field(f.index), joinPath(path, f.key)
		switch {
		case value.Kind() == reflect.Struct:
			entries = describe(child, value, entries)
			continue
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			entries = describe(child+"[]", reflect.New(value.Type().Elem()).Elem(), entries)
			continue
		}
		entries = append(entries, SettingEntry{
			Field: child, Type: typeText(value.Type()), Unit: f.unit, Default: defaultText(value),
			Range: f.valuesText(), Required: f.required, Help: f.help,
		})
	}
	return entries
}

func typeText(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + typeText(t.Elem())
	case t.Kind() == reflect.Float64:
		return "number"
	case isNumber(t.Kind()):
		return "whole number"
	case t.Kind() == reflect.Bool:
		return "boolean"
	}
	return "text"
}

func defaultText(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		parts := make([]string, 0, value.Len())
		for i := range value.Len() {
			parts = append(parts, fmt.Sprint(value.Index(i).Interface()))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(value.Interface())
}

// valuesText returns rangeText or, for a string without a range, a description of its format.
func (f field) valuesText() string {
	if text := f.rangeText(); text != "" {
		return text
	}
	switch f.format {
	case "name":
		return fmt.Sprintf("1 to %d of a-z A-Z 0-9 . _ -", maxNameLength)
	case "listen", "address":
		return "IP number and port, no host name"
	}
	return ""
}
