package differ

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Change is one difference. Path identifies entries by their names, for example pools[drafts].upstreams[e1].slots. From
// is nil for an added value, To for a removed one.
type Change struct {
	Path string `yaml:"path"`
	From any    `yaml:"from"`
	To   any    `yaml:"to"`
}

// revisionKey is the key of the catalogue's revision, which isn't part of an edit and differs anyway.
const revisionKey = "revision"

// Compare lists the changes from one catalogue to another, in order of path.
func Compare(from, to any) []Change {
	changes := compare("", from, to, []Change{})
	return slices.DeleteFunc(changes, func(c Change) bool { return c.Path == revisionKey })
}

func compare(path string, from, to any, changes []Change) []Change {
	fromChildren, toChildren := children(from), children(to)
	if fromChildren == nil || toChildren == nil {
		if !reflect.DeepEqual(from, to) {
			changes = append(changes, Change{Path: path, From: from, To: to})
		}
		return changes
	}
	keys := maps.Clone(fromChildren)
	maps.Copy(keys, toChildren)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		changes = compare(path+key, fromChildren[key], toChildren[key], changes)
	}
	if path == "" {
		for i := range changes {
			changes[i].Path = changes[i].Path[1:]
		}
	}
	return changes
}

// children returns the members of a mapping, or of a list of mappings that all have different names, by path element. It
// returns nil for any other value, which is compared as a whole.
func children(value any) map[string]any {
	members := make(map[string]any)
	switch typed := value.(type) {
	case map[string]any:
		for key, member := range typed {
			members["."+key] = member
		}
	case []any:
		for _, member := range typed {
			entry, ok := member.(map[string]any)
			if !ok || entry["name"] == nil {
				return nil
			}
			key := fmt.Sprintf("[%v]", entry["name"])
			if _, duplicate := members[key]; duplicate {
				return nil
			}
			members[key] = member
		}
	default:
		return nil
	}
	return members
}
