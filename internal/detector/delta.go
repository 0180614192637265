package detector

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// retransmitFactor sets how often a delta is sent: retransmitFactor times log2 of the number of members. With 3, a
// delta reaches all of 410 members with high probability even if some probes are lost.
const retransmitFactor = 3

// deltas counts how often each recent change has been sent, by member name and by fingerprint.
type deltas struct {
	members     map[string]int
	convictions map[uint64]int
}

func newDeltas() deltas {
	return deltas{members: make(map[string]int), convictions: make(map[uint64]int)}
}

func (d *deltas) addMember(name string)             { d.members[name] = 0 }
func (d *deltas) dropMember(name string)            { delete(d.members, name) }
func (d *deltas) addConviction(fingerprint uint64)  { d.convictions[fingerprint] = 0 }
func (d *deltas) dropConviction(fingerprint uint64) { delete(d.convictions, fingerprint) }

// attach adds deltas to a probe or an answer, the least often sent first, up to an encoded size of budget bytes. The
// rows of the members in required are added first, regardless of how often they were sent.
func (t *table) attach(budget int, required []string, members *[]*protocol.Member, convictions *[]*protocol.Conviction) {
	limit := retransmitFactor * bits.Len(uint(len(t.records)+1))
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
	for _, name := range required {
		add(name)
	}
	// Convictions get at most half of the budget and are added first, so that neither kind of delta crowds out the other.
	half := budget / 2
	for _, fingerprint := range t.convictionsToSend() {
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

// convictionsToSend returns the fingerprints whose changes are still sent, convicted ones first, then the least often sent.
func (t *table) convictionsToSend() []uint64 {
	fingerprints := leastSent(t.deltas.convictions)
	slices.SortStableFunc(fingerprints, func(a, b uint64) int {
		return cmp.Compare(convictedFirst(t.convictions[a]), convictedFirst(t.convictions[b]))
	})
	return fingerprints
}

func convictedFirst(c *protocol.Conviction) int {
	if c.GetConvicted() {
		return 0
	}
	return 1
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

// fieldSize returns the encoded size of a message in a repeated field: the message, a one-byte tag and up to two bytes
// of length.
func fieldSize(message proto.Message) int { return proto.Size(message) + 3 }

// leastSent returns the keys of counts in ascending order of their count.
func leastSent[K cmp.Ordered](counts map[K]int) []K {
	return slices.SortedFunc(maps.Keys(counts), func(a, b K) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
}
