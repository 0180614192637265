package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a settings template as the platform does: values, values as JSON, sections and the comma between entries.
func render(text string, data map[string]any) string { return renderIn(text, []any{data}, false) }

func renderIn(text string, scopes []any, last bool) string {
	var out strings.Builder
	for {
		begin := strings.Index(text, "{{")
		if begin < 0 {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:begin])
		end := strings.Index(text[begin:], "}}") + begin
		name := text[begin+2 : end]
		text = text[end+2:]
		switch {
		case name == ",":
			if !last {
				out.WriteString(",")
			}
		case name[0] == '#' || name[0] == '^':
			closing := "{{/" + name[1:] + "}}"
			at := strings.Index(text, closing)
			inner := text[:at]
			text = text[at+len(closing):]
			out.WriteString(section(name[0] == '^', inner, lookUp(scopes, name[1:]), scopes))
		default:
			path, format, _ := strings.Cut(name, "|")
			out.WriteString(value(lookUp(scopes, path), format == "json"))
		}
	}
}

func section(inverted bool, inner string, found any, scopes []any) string {
	empty := found == nil || found == false
	if inverted {
		if empty {
			return renderIn(inner, scopes, false)
		}
		return ""
	}
	if empty {
		return ""
	}
	list, ok := found.([]any)
	if !ok {
		return renderIn(inner, scopes, false)
	}
	var out strings.Builder
	for i, item := range list {
		out.WriteString(renderIn(inner, append(append([]any{}, scopes...), item), i == len(list)-1))
	}
	return out.String()
}

func lookUp(scopes []any, path string) any {
	if path == "." {
		return scopes[len(scopes)-1]
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		if found, ok := walk(scopes[i], strings.Split(path, ".")); ok {
			return found
		}
	}
	return nil
}

func walk(from any, steps []string) (any, bool) {
	for _, step := range steps {
		switch v := from.(type) {
		case map[string]any:
			next, ok := v[step]
			if !ok {
				return nil, false
			}
			from = next
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i >= len(v) {
				return nil, false
			}
			from = v[i]
		default:
			return nil, false
		}
	}
	return from, true
}

func value(found any, asJSON bool) string {
	if asJSON {
		data, _ := json.Marshal(found)
		return string(data)
	}
	if found == nil {
		return ""
	}
	return fmt.Sprint(found)
}
