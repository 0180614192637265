package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a template as the page on deployments tells it: values, JSON, and sections for lists and present values.
func render(text string, fields map[string]any) string {
	return renderIn(text, []any{fields}, nil, 0, true)
}

func renderIn(text string, scopes []any, key any, index int, last bool) string {
	var out strings.Builder
	for {
		start := strings.Index(text, "{{")
		if start < 0 {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:start])
		end := start + strings.Index(text[start:], "}}")
		tag := text[start+2 : end]
		text = text[end+2:]
		switch {
		case tag == ",":
			if !last {
				out.WriteString(",")
			}
		case tag == "@":
			out.WriteString(fmt.Sprint(key))
		case tag[0] == '#' || tag[0] == '^':
			closing := "{{/" + tag[1:] + "}}"
			at := strings.Index(text, closing)
			inner := text[:at]
			text = text[at+len(closing):]
			value, ok := lookup(scopes, tag[1:])
			present := ok && value != nil && value != false
			if tag[0] == '^' {
				if !present {
					out.WriteString(renderIn(inner, scopes, key, index, last))
				}
				continue
			}
			if list, isList := value.([]any); isList {
				for i, item := range list {
					out.WriteString(renderIn(inner, append(scopes[:len(scopes):len(scopes)], item), i, i, i == len(list)-1))
				}
				continue
			}
			if present {
				out.WriteString(renderIn(inner, scopes, key, index, last))
			}
		default:
			name, asJSON := strings.CutSuffix(tag, "|json")
			value, _ := lookup(scopes, name)
			if asJSON {
				data, err := json.Marshal(value)
				check(err)
				out.Write(data)
			} else if value != nil {
				out.WriteString(fmt.Sprint(value))
			}
		}
	}
}

func lookup(scopes []any, path string) (any, bool) {
	if path == "." {
		return scopes[len(scopes)-1], true
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		value, ok := scopes[i], true
		for part := range strings.SplitSeq(path, ".") {
			switch container := value.(type) {
			case map[string]any:
				value, ok = container[part]
			case []any:
				n, err := strconv.Atoi(part)
				if ok = err == nil && n < len(container); ok {
					value = container[n]
				}
			default:
				ok = false
			}
			if !ok {
				break
			}
		}
		if ok {
			return value, true
		}
	}
	return nil, false
}
