package isolator

import "time"

// soundParts remembers, for the parts that were used last, when the latest request was granted on which an engine began to
// answer. It keeps one to two times limit parts.
type soundParts struct {
	limit         int
	recent, older map[uint64]time.Time
}

func newSoundParts(limit int) *soundParts {
	return &soundParts{limit: limit, recent: make(map[uint64]time.Time)}
}

func (p *soundParts) record(part uint64, at time.Time) {
	if known := p.at(part); known.After(at) {
		at = known
	}
	if _, ok := p.recent[part]; !ok && len(p.recent) >= p.limit {
		p.recent, p.older = make(map[uint64]time.Time), p.recent
	}
	p.recent[part] = at
}

// at returns the zero time for a part that isn't known.
func (p *soundParts) at(part uint64) time.Time {
	if at, ok := p.recent[part]; ok {
		return at
	}
	return p.older[part]
}
