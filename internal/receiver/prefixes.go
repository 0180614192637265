package receiver

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual length of a token in Latin-script text.
	bytesPerToken = 4
	// prefixBlockBytes is the part of a prompt that one prefix hash adds: 64 tokens.
	prefixBlockBytes = 64 * bytesPerToken
	// maxPrefixBlocks bounds the hashes in a ticket, and so its size.
	maxPrefixBlocks = 32
)

// estimateTokens estimates the number of tokens of a text.
func estimateTokens(text string) int {
	return len(text)/bytesPerToken + 1
}

// prefixHashes returns the hashes of the prompt's growing prefixes, longest last. They are salted by workspace,
// so that one workspace's cached prefixes tell nothing to another.
func prefixHashes(workspace, prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	previous := xxhash.Sum64String(workspace)
	var seed [8]byte
	digest := xxhash.New()
	for i := range blocks {
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest.Reset()
		// A hash never returns a write error.
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}
