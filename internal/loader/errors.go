package loader

import (
	"fmt"
	"slices"
	"strings"
)

// Position locates a setting in a file. Line counts from 1; 0 means that the value wasn't read from a file.
type Position struct {
	File  string
	Line  int
	Field string
}

func (p Position) String() string {
	switch {
	case p.Line > 0 && p.Field != "":
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Field)
	case p.Line > 0:
		return fmt.Sprintf("%s:%d", p.File, p.Line)
	case p.File != "" && p.Field != "":
		return p.File + ": " + p.Field
	case p.File != "":
		return p.File
	}
	return p.Field
}

// ReadError reports a settings file that could not be read.
type ReadError struct {
	Position
	Cause error
}

func (e *ReadError) Error() string { return fmt.Sprintf("%s: read file: %v", e.Position, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// SyntaxError reports text that isn't valid YAML, including a key that appears twice.
type SyntaxError struct {
	Position
	Message string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("%s: %s", e.Position, e.Message) }

// UnknownKeyError reports a key that isn't a setting. Known lists the valid keys of the enclosing mapping.
type UnknownKeyError struct {
	Position
	Known []string
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: unknown key (known: %s)", e.Position, strings.Join(e.Known, ", "))
}

// WrongUnitError reports a value with a missing, wrong or superfluous unit.
type WrongUnitError struct {
	Position
	Value string
	Want  string
}

func (e *WrongUnitError) Error() string {
	return fmt.Sprintf("%s: wrong unit in %q, want %s", e.Position, e.Value, e.Want)
}

// WrongTypeError reports a value of another type than the setting has.
type WrongTypeError struct {
	Position
	Value string
	Want  string
}

func (e *WrongTypeError) Error() string {
	return fmt.Sprintf("%s: wrong value %q, want %s", e.Position, e.Value, e.Want)
}

// OutOfRangeError reports a value outside the range of its setting.
type OutOfRangeError struct {
	Position
	Value string
	Range string
}

func (e *OutOfRangeError) Error() string {
	return fmt.Sprintf("%s: value %s is out of range, want %s", e.Position, e.Value, e.Range)
}

// MissingError reports a required setting without a value.
type MissingError struct {
	Position
}

func (e *MissingError) Error() string { return fmt.Sprintf("%s: required, but not set", e.Position) }

// AddressError reports a value that isn't a usable IP address with a port.
type AddressError struct {
	Position
	Value  string
	Reason string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("%s: address %q: %s", e.Position, e.Value, e.Reason)
}

// ConflictError reports a value that contradicts another setting.
type ConflictError struct {
	Position
	Reason string
}

func (e *ConflictError) Error() string { return fmt.Sprintf("%s: %s", e.Position, e.Reason) }

// CertificateError reports TLS files that can't be used.
type CertificateError struct {
	Position
	Cause error
}

func (e *CertificateError) Error() string { return fmt.Sprintf("%s: %v", e.Position, e.Cause) }

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Cause }

// Problem is an error in one setting.
type Problem interface {
	error
	// At returns a pointer to the position of the setting.
	At() *Position
}

// At returns the position itself. The error types inherit it by embedding Position.
func (p *Position) At() *Position { return p }

// SettingsErrors lists all problems of the settings, in order of line.
type SettingsErrors []Problem

func (p SettingsErrors) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual problems, for errors.As.
func (p SettingsErrors) Unwrap() []error {
	all := make([]error, 0, len(p))
	for _, problem := range p {
		all = append(all, problem)
	}
	return all
}

// Err returns the list as an error, or nil if it is empty.
func (p SettingsErrors) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

func (p SettingsErrors) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int { return a.At().Line - b.At().Line })
}
