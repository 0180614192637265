package receiver

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual length of a token in text in the Latin script.
	bytesPerToken = 4
	// prefixBlockBytes is the length of a prompt block; each prefix hash covers one block (64 tokens) more than the
	// one before.
	prefixBlockBytes = 64 * bytesPerToken
	// maxPrefixBlocks limits the number of prefix hashes in a ticket, and thereby its size.
	maxPrefixBlocks = 32
)

// estimateTokens estimates the number of tokens of a text.
func estimateTokens(text string) int {
	return len(text)/bytesPerToken + 1
}

// prefixHashes returns the hashes of the prompt's prefixes of one block, two blocks and so on. They are salted with the
// workspace, so that a workspace can't find out which prefixes another one has cached.
func prefixHashes(workspace, prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	previous := xxhash.Sum64String(workspace)
	var seed [8]byte
	digest := xxhash.New()
	for i := range blocks {
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest.Reset()
		// Writes to a hash never fail.
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}
