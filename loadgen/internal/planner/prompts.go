package planner

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of one word with its space. Prompts have one token per word and four bytes per token, so
// that a router gets the same number of tokens whether it estimates by words or by bytes.
const bytesPerToken = 4

// promptGenerator generates prompt texts. The requests of a workspace share their prefixes, so that the prefix caches of
// engines have an effect.
type promptGenerator struct {
	seed     uint64
	prefixes map[prefixKey]string
}

type prefixKey struct {
	workspace string
	number    int
}

func newPromptGenerator(seed uint64) *promptGenerator {
	return &promptGenerator{seed: seed, prefixes: make(map[prefixKey]string)}
}

// prefix returns one of the workspace's shared prefixes at random, cut to the length of the prompt in tokens.
func (p *promptGenerator) prefix(workspace *Workspace, random *rand.Rand, length int) string {
	if workspace.Prefixes == 0 || workspace.PrefixTokens == 0 {
		return ""
	}
	key := prefixKey{workspace.Name, random.IntN(workspace.Prefixes)}
	text, known := p.prefixes[key]
	if !known {
		prefixRandom := rand.New(rand.NewPCG(p.seed^xxhash.Sum64String(key.workspace), uint64(key.number)+1))
		text = p.randomText(prefixRandom, workspace.PrefixTokens)
		p.prefixes[key] = text
	}
	return text[:min(len(text), bytesPerToken*length)]
}

// randomText returns a random text of the given number of tokens.
func (p *promptGenerator) randomText(random *rand.Rand, tokens int) string {
	var text strings.Builder
	text.Grow(tokens * bytesPerToken)
	for range tokens {
		for range bytesPerToken - 1 {
			text.WriteByte('a' + byte(random.IntN(26)))
		}
		text.WriteByte(' ')
	}
	return text.String()
}

func tokenCount(text string) int { return len(text) / bytesPerToken }
