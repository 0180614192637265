// Package dumper collects the state of a process on request, in named sections that other packages register.
package dumper

import (
	"encoding/json"
	"slices"
	"sync"
	"time"
)

// Section returns a part of the process state that encoding/json can encode. It may be called from any goroutine
// and must not block.
type Section func() any

// Dumper holds the registered sections.
type Dumper struct {
	process  string
	mu       sync.RWMutex
	sections map[string]Section
}

// New returns a dumper without sections. The process name appears in each dump.
func New(process string) *Dumper {
	return &Dumper{process: process, sections: make(map[string]Section)}
}

// Register adds a section and returns a function that removes it. Errors: *DuplicateError.
func (d *Dumper) Register(name string, section Section) (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, taken := d.sections[name]; taken {
		return nil, &DuplicateError{Section: name}
	}
	d.sections[name] = section
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.sections, name)
	}, nil
}

// Names returns the names of the sections in alphabetical order.
func (d *Dumper) Names() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.names()
}

func (d *Dumper) names() []string {
	names := make([]string, 0, len(d.sections))
	for name := range d.sections {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// dump is the JSON document that Dump returns.
type dump struct {
	Process  string                     `json:"process"`
	Time     time.Time                  `json:"time"`
	Sections map[string]json.RawMessage `json:"sections"`
	// Failures holds the errors of sections that could not be encoded, so that one of them doesn't hide the others.
	Failures map[string]string `json:"failures,omitempty"`
}

// Dump returns one section as JSON, or all of them if the name is empty. Errors: *UnknownSectionError.
func (d *Dumper) Dump(section string) ([]byte, error) {
	selected, err := d.selected(section)
	if err != nil {
		return nil, err
	}
	result := dump{Process: d.process, Time: time.Now().UTC(), Sections: make(map[string]json.RawMessage)}
	for name, read := range selected {
		text, err := json.Marshal(read())
		if err != nil {
			if result.Failures == nil {
				result.Failures = make(map[string]string)
			}
			result.Failures[name] = err.Error()
			continue
		}
		result.Sections[name] = text
	}
	text, err := json.Marshal(result)
	return text, Error.Wrap(err)
}

// selected returns a copy of the requested sections, so that they can be called without holding the lock.
func (d *Dumper) selected(section string) (map[string]Section, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	selected := make(map[string]Section)
	for name, read := range d.sections {
		if section == "" || section == name {
			selected[name] = read
		}
	}
	if section != "" && len(selected) == 0 {
		return nil, &UnknownSectionError{Section: section, Known: d.names()}
	}
	return selected, nil
}
