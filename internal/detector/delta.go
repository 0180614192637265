package detector

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// spreadFactor times log2 of the number of members is how often a delta is sent. With 3, a delta reaches all of 410
// members with high probability even when some probes are lost.
const spreadFactor = 3

// deltas counts how often each recent change has been sent.
type deltas struct {
	members     map[string]int
	convictions map[uint64]int
}

func newDeltas() deltas {
	return deltas{members: make(map[string]int), convictions: make(map[uint64]int)}
}

func (d *deltas) addMember(name string)       { d.members[name] = 0 }
func (d *deltas) dropMember(name string)      { delete(d.members, name) }
func (d *deltas) addConviction(print uint64)  { d.convictions[print] = 0 }
func (d *deltas) dropConviction(print uint64) { delete(d.convictions, print) }

// attach adds deltas to a probe, those first that were sent least often, as long as the encoded message stays within
// budget bytes. first names members whose rows must be in it whatever their count.
func (t *table) attach(budget int, first []string, members *[]*protocol.Member, convictions *[]*protocol.Conviction) {
	limit := spreadFactor * bits.Len(uint(len(t.records)+1))
	sent := make(map[string]bool)
	add := func(name string) bool {
		row := t.row(name)
		if row == nil || sent[name] {
			return true
		}
		size := fieldSize(row)
		if size > budget {
			return false
		}
		budget -= size
		sent[name] = true
		*members = append(*members, row)
		return true
	}
	for _, name := range first {
		add(name)
	}
	// Neither kind of delta may take the other's place, however many of them are new.
	half := budget / 2
	for _, fingerprint := range leastSent(t.deltas.convictions) {
		size := fieldSize(t.convictions[fingerprint])
		if size > half {
			break
		}
		half -= size
		budget -= size
		*convictions = append(*convictions, t.convictions[fingerprint])
		if t.deltas.convictions[fingerprint]++; t.deltas.convictions[fingerprint] >= limit {
			t.deltas.dropConviction(fingerprint)
		}
	}
	for _, name := range leastSent(t.deltas.members) {
		if !add(name) {
			break
		}
		if t.deltas.members[name]++; t.deltas.members[name] >= limit {
			t.deltas.dropMember(name)
		}
	}
}

func (t *table) row(name string) *protocol.Member {
	if name == t.self.GetName() {
		return t.self
	}
	if known, ok := t.records[name]; ok {
		return known.member
	}
	return nil
}

// fieldSize is the encoded size of a message as a repeated field: the message, its tag and up to two bytes of
// length.
func fieldSize(message proto.Message) int { return proto.Size(message) + 3 }

func leastSent[K cmp.Ordered](counts map[K]int) []K {
	return slices.SortedFunc(maps.Keys(counts), func(a, b K) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
}
