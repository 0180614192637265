package planner

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of one word with its space. Prompts have one token per word and four bytes per
// token, so that a router may estimate tokens by words or by bytes.
const bytesPerToken = 4

// prompts makes prompt texts. Beginnings are shared by the requests of one workspace, so that the prefix caches
// of engines have an effect.
type prompts struct {
	seed     uint64
	prefixes map[prefixKey]string
}

type prefixKey struct {
	workspace string
	number    int
}

func newPrompts(seed uint64) *prompts {
	return &prompts{seed: seed, prefixes: make(map[prefixKey]string)}
}

// prefix returns one of the workspace's shared beginnings, cut to the length of the prompt in tokens.
func (p *prompts) prefix(workspace *Workspace, random *rand.Rand, length int) string {
	if workspace.Prefixes == 0 || workspace.PrefixTokens == 0 {
		return ""
	}
	key := prefixKey{workspace.Name, random.IntN(workspace.Prefixes)}
	text, known := p.prefixes[key]
	if !known {
		own := rand.New(rand.NewPCG(p.seed^xxhash.Sum64String(key.workspace), uint64(key.number)+1))
		text = p.words(own, workspace.PrefixTokens)
		p.prefixes[key] = text
	}
	return text[:min(len(text), bytesPerToken*length)]
}

// words returns a text of the given number of tokens.
func (p *prompts) words(random *rand.Rand, tokens int) string {
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

func tokensIn(text string) int { return len(text) / bytesPerToken }
