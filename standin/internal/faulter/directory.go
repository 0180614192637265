package faulter

import (
	"maps"
	"slices"
	"time"
)

// Directory maps target names to fault tables, and group names to their member targets. It isn't safe for concurrent
// use while targets are added.
type Directory struct {
	tables map[string]*Table
	groups map[string][]string
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{tables: make(map[string]*Table), groups: make(map[string][]string)}
}

// Add adds a target and makes it a member of groups.
func (d *Directory) Add(table *Table, groups ...string) {
	d.tables[table.target] = table
	for _, group := range groups {
		d.groups[group] = append(d.groups[group], table.target)
	}
}

// Targets returns the names of all targets and groups in alphabetical order.
func (d *Directory) Targets() []string {
	names := slices.Collect(maps.Keys(d.tables))
	names = slices.AppendSeq(names, maps.Keys(d.groups))
	slices.Sort(names)
	return names
}

// Find returns the tables of a target or group, or an *UnknownTargetError.
func (d *Directory) Find(target string) ([]*Table, error) {
	if table, ok := d.tables[target]; ok {
		return []*Table{table}, nil
	}
	members, ok := d.groups[target]
	if !ok {
		return nil, &UnknownTargetError{Target: target, Known: d.Targets()}
	}
	tables := make([]*Table, 0, len(members))
	for _, member := range members {
		tables = append(tables, d.tables[member])
	}
	return tables, nil
}

// Set switches a fault on for a target or for each member of a group. If one of them doesn't support the fault, none
// is changed. Errors: *UnknownTargetError, *UnknownFaultError.
func (d *Directory) Set(target, fault string, value Value, duration time.Duration) error {
	tables, err := d.Find(target)
	if err != nil {
		return err
	}
	for _, table := range tables {
		if _, ok := table.descriptions[fault]; !ok {
			return &UnknownFaultError{Target: target, Fault: fault, Known: table.FaultNames()}
		}
	}
	for _, table := range tables {
		if err := table.Set(fault, value, duration); err != nil {
			return err
		}
	}
	return nil
}

// Clear switches a fault off for a target or group, or all faults if fault is empty. Errors: *UnknownTargetError.
func (d *Directory) Clear(target, fault string) error {
	tables, err := d.Find(target)
	if err != nil {
		return err
	}
	for _, table := range tables {
		names := []string{fault}
		if fault == "" {
			names = table.FaultNames()
		}
		for _, name := range names {
			table.Clear(name)
		}
	}
	return nil
}

// ActiveFaults returns the active faults of all targets.
func (d *Directory) ActiveFaults() []ActiveFault {
	faults := []ActiveFault{}
	for _, name := range slices.Sorted(maps.Keys(d.tables)) {
		faults = append(faults, d.tables[name].ActiveFaults()...)
	}
	return faults
}

// Descriptions maps each target to its faults and their descriptions.
func (d *Directory) Descriptions() map[string]map[string]string {
	descriptions := make(map[string]map[string]string, len(d.tables))
	for name, table := range d.tables {
		descriptions[name] = table.descriptions
	}
	return descriptions
}
