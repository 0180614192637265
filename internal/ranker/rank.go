package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidates is the number of first-ranked members that accept work for a role. One isn't enough: holders switch to the
// next rank as soon as a stream breaks, seconds before the member table declares the first-ranked member dead.
const Candidates = 3

type scored struct {
	member string
	score  uint64
}

// Rank returns the members in descending order of preference for the role. The result doesn't depend on the
// order of members.
func Rank(role string, members []string) []string {
	scores := make([]scored, len(members))
	for i, member := range members {
		scores[i] = scored{member: member, score: score(role, member)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
	})
	ranked := make([]string, len(scores))
	for i, s := range scores {
		ranked[i] = s.member
	}
	return ranked
}

// First returns the member ranked first for the role, or "" if there are no members.
func First(role string, members []string) string {
	var best scored
	for i, member := range members {
		s := score(role, member)
		if i == 0 || s > best.score || s == best.score && member < best.member {
			best = scored{member: member, score: s}
		}
	}
	return best.member
}

// Top returns the first Candidates members of the ranking. It is called for each ticket, so it makes one pass over the
// members instead of sorting them.
func Top(role string, members []string) []string {
	best := make([]scored, 0, Candidates+1)
	for _, member := range members {
		entry := scored{member: member, score: score(role, member)}
		if len(best) == Candidates && !entry.before(best[Candidates-1]) {
			continue
		}
		index := len(best)
		for index > 0 && entry.before(best[index-1]) {
			index--
		}
		best = slices.Insert(best, index, entry)
		best = best[:min(len(best), Candidates)]
	}
	top := make([]string, len(best))
	for i, s := range best {
		top[i] = s.member
	}
	return top
}

// before reports whether s is ranked before other.
func (s scored) before(other scored) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.member < other.member
}

// score hashes role and member together. The zero byte separates them, so that ("a", "bc") and ("ab", "c")
// differ.
func score(role, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(role)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
