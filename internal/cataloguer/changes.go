package cataloguer

import (
	"cmp"
	"reflect"
	"slices"
)

// Changes is the difference between two revisions: the entries to add or replace, and the names of entries to remove.
type Changes struct {
	Workspaces        []Workspace `yaml:"workspaces,omitempty"`
	Pools             []Pool      `yaml:"pools,omitempty"`
	Works             []Work      `yaml:"works,omitempty"`
	RemovedWorkspaces []string    `yaml:"removed_workspaces,omitempty"`
	RemovedPools      []string    `yaml:"removed_pools,omitempty"`
	RemovedWorks      []string    `yaml:"removed_works,omitempty"`
}

// Empty reports whether there are no changes.
func (c *Changes) Empty() bool {
	return len(c.Workspaces)+len(c.Pools)+len(c.Works)+
		len(c.RemovedWorkspaces)+len(c.RemovedPools)+len(c.RemovedWorks) == 0
}

func workspaceName(w Workspace) string { return w.Name }
func poolName(p Pool) string           { return p.Name }
func workName(w Work) string           { return w.Name }

// Diff returns the changes that turn the catalogue from into the catalogue to.
func Diff(from, to *Catalogue) *Changes {
	changes := &Changes{}
	changes.Workspaces, changes.RemovedWorkspaces = diffEntries(from.Workspaces, to.Workspaces, workspaceName)
	changes.Pools, changes.RemovedPools = diffEntries(from.Pools, to.Pools, poolName)
	changes.Works, changes.RemovedWorks = diffEntries(from.Works, to.Works, workName)
	return changes
}

func diffEntries[T any](from, to []T, name func(T) string) (changed []T, removed []string) {
	before := make(map[string]T, len(from))
	for _, e := range from {
		before[name(e)] = e
	}
	for _, e := range to {
		old, existed := before[name(e)]
		if !existed || !reflect.DeepEqual(old, e) {
			changed = append(changed, e)
		}
		delete(before, name(e))
	}
	for removedName := range before {
		removed = append(removed, removedName)
	}
	slices.Sort(removed)
	return changed, removed
}

// with applies the changes and returns the next revision. Its entries are sorted by name.
func (c *Catalogue) with(changes *Changes, offset int64) *Catalogue {
	return &Catalogue{
		Revision:   c.Revision + 1,
		Offset:     offset,
		Workspaces: mergeEntries(c.Workspaces, changes.Workspaces, changes.RemovedWorkspaces, workspaceName),
		Pools:      mergeEntries(c.Pools, changes.Pools, changes.RemovedPools, poolName),
		Works:      mergeEntries(c.Works, changes.Works, changes.RemovedWorks, workName),
	}
}

func mergeEntries[T any](entries, changed []T, removed []string, name func(T) string) []T {
	merged := make(map[string]T, len(entries)+len(changed))
	for _, e := range entries {
		merged[name(e)] = e
	}
	for _, removedName := range removed {
		delete(merged, removedName)
	}
	for _, e := range changed {
		merged[name(e)] = e
	}
	result := make([]T, 0, len(merged))
	for _, e := range merged {
		result = append(result, e)
	}
	slices.SortFunc(result, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return result
}
