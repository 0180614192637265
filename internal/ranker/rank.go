package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidates is how many of the first-ranked members accept work for a role. Holders turn to the next rank
// as soon as a stream breaks, seconds before the member table declares the first rank dead.
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

// First returns the member ranked first for the role, or "" without members.
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

// Top returns the first Candidates members of the ranking.
func Top(role string, members []string) []string {
	ranked := Rank(role, members)
	return ranked[:min(len(ranked), Candidates)]
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
