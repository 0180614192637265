package loader

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"time"
)

// maxNameLength keeps names short enough for metrics and gossip messages (1,200 bytes hold several members).
const maxNameLength = 64

// checkTags checks the tag rules of all fields below target, a pointer to a struct. Paths in skip are not checked,
// because they already have a problem.
func checkTags(target any, skip map[string]bool) SettingsErrors {
	c := &checker{skip: skip}
	c.structure("", reflect.ValueOf(target).Elem())
	return c.problems
}

type checker struct {
	skip     map[string]bool
	problems SettingsErrors
}

func (c *checker) structure(path string, value reflect.Value) {
	for _, f := range fieldsOf(value.Type()) {
		c.value(joinPath(path, f.key), f, value.Field(f.index))
	}
}

func (c *checker) value(path string, f field, value reflect.Value) {
	if c.skip[path] {
		return
	}
	position := Position{Field: path}
	switch {
	case value.Kind() == reflect.Struct:
		c.structure(path, value)
	case value.Kind() == reflect.Slice:
		if f.required && value.Len() == 0 {
			c.problems = append(c.problems, &MissingError{Position: position})
		}
		item := f
		item.required = true
		for i := range value.Len() {
			c.value(path+"["+strconv.Itoa(i)+"]", item, value.Index(i))
		}
	case value.Kind() == reflect.String:
		c.text(position, f, value.String())
	case value.Type() == durationType:
		c.bounds(position, f, float64(value.Int()), value.Interface(), func(limit string) float64 {
			parsed, err := time.ParseDuration(limit)
			if err != nil {
				panic(&TagError{Field: path, Value: limit})
			}
			return float64(parsed)
		})
	case isNumber(value.Kind()):
		number := value.Convert(reflect.TypeFor[float64]()).Float()
		c.bounds(position, f, number, value.Interface(), func(limit string) float64 {
			parsed, err := strconv.ParseFloat(limit, 64)
			if err != nil {
				panic(&TagError{Field: path, Value: limit})
			}
			return parsed
		})
	}
}

// TagError reports a limit in a struct tag that can't be parsed, a programming error.
type TagError struct {
	Field string
	Value string
}

func (e *TagError) Error() string {
	return fmt.Sprintf("tag of setting %s: invalid limit %q", e.Field, e.Value)
}

func (c *checker) bounds(position Position, f field, number float64, given any, parse func(string) float64) {
	inRange := true
	if f.min != "" {
		inRange = number >= parse(f.min)
	}
	if f.max != "" {
		inRange = inRange && number <= parse(f.max)
	}
	if !inRange {
		c.problems = append(c.problems, &OutOfRangeError{Position: position, Value: fmt.Sprint(given), Range: f.rangeText()})
	}
}

func (c *checker) text(position Position, f field, value string) {
	if value == "" {
		if f.required {
			c.problems = append(c.problems, &MissingError{Position: position})
		}
		return
	}
	switch {
	case len(f.oneOf) > 0 && !slices.Contains(f.oneOf, value):
		c.problems = append(c.problems, &OutOfRangeError{Position: position, Value: strconv.Quote(value), Range: f.rangeText()})
	case f.format == "name" && !validName(value):
		c.problems = append(c.problems, &OutOfRangeError{Position: position, Value: strconv.Quote(value),
			Range: fmt.Sprintf("1 to %d characters of a-z, A-Z, 0-9, '.', '_' and '-'", maxNameLength)})
	case f.format == "listen" || f.format == "address":
		if reason := addressProblem(value, f.format == "address"); reason != "" {
			c.problems = append(c.problems, &AddressError{Position: position, Value: value, Reason: reason})
		}
	}
}

// addressProblem describes what is wrong with an address, or returns "" if it is valid. Host names are rejected,
// because the routers must not depend on a name service. If mustBeReachable is set, the unspecified address is
// rejected, since nothing can connect to it.
func addressProblem(value string, mustBeReachable bool) string {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		return "want an IP number and a port, such as 10.0.0.7:8080"
	case address.Port() == 0:
		return "port 0 is not allowed"
	case mustBeReachable && address.Addr().IsUnspecified():
		return "the unspecified address can't be reached by others"
	}
	return ""
}

func validName(value string) bool {
	for _, r := range value {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && r != '.' && r != '_' && r != '-' {
			return false
		}
	}
	return len(value) <= maxNameLength
}
