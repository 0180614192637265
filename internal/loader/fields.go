package loader

import (
	"reflect"
	"strings"
)

// field holds the rules of one struct field, read from its tags.
type field struct {
	index    int
	key      string
	unit     string
	min, max string
	oneOf    []string
	format   string
	required bool
	help     string
}

type fieldList []field

func (l fieldList) find(key string) (field, bool) {
	for _, f := range l {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

func (l fieldList) keys() []string {
	keys := make([]string, 0, len(l))
	for _, f := range l {
		keys = append(keys, f.key)
	}
	return keys
}

// fieldsOf returns the fields of a struct type that have a yaml key.
func fieldsOf(structure reflect.Type) fieldList {
	var list fieldList
	for i := range structure.NumField() {
		tag := structure.Field(i).Tag
		key, _, _ := strings.Cut(tag.Get("yaml"), ",")
		if key == "" || key == "-" {
			continue
		}
		f := field{
			index: i, key: key, unit: tag.Get("unit"), min: tag.Get("min"), max: tag.Get("max"),
			format: tag.Get("format"), required: tag.Get("required") == "true", help: tag.Get("help"),
		}
		if choices := tag.Get("oneof"); choices != "" {
			f.oneOf = strings.Split(choices, ",")
		}
		list = append(list, f)
	}
	return list
}

// rangeText describes the allowed values for messages and the reference, or returns "" if any value is allowed.
func (f field) rangeText() string {
	switch {
	case len(f.oneOf) > 0:
		return "one of " + strings.Join(f.oneOf, ", ")
	case f.min != "" && f.max != "":
		return f.min + " to " + f.max
	case f.min != "":
		return "at least " + f.min
	case f.max != "":
		return "at most " + f.max
	}
	return ""
}
