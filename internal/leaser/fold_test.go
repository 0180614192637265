package leaser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFoldOneHolder guards against two routers that both consider their own lease record valid. The routers read the
// same records up to different offsets and append at any time, including copies of old records.
func TestFoldOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []record
		routers := make([]fold, 3)
		readCount := make([]int, len(routers))
		for i := range routers {
			routers[i].leases = make(map[string]entry)
		}
		validAt := make(map[int]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				supersedes := noLease
				if current, ok := routers[i].leases["e"]; ok {
					supersedes = current.offset
				}
				log = append(log, record{Engine: "e", Holder: string(rune('a' + i)), Supersedes: supersedes})
			case 1:
				if len(log) > 0 {
					log = append(log, rapid.SampledFrom(log).Draw(t, "copy"))
				}
			case 2:
				for readCount[i] < len(log) && rapid.IntRange(0, 4).Draw(t, "more") > 0 {
					offset := readCount[i]
					valid := routers[i].apply(log[offset], int64(offset), time.Time{})
					if before, known := validAt[offset]; known {
						assert.Equal(t, valid, before, "offset %d", offset)
					}
					validAt[offset] = valid
					readCount[i]++
				}
			}
		}
		superseded := make(map[int64]bool)
		for offset, r := range log {
			if validAt[offset] {
				assert.Assert(t, !superseded[r.Supersedes], "offset %d was superseded twice", r.Supersedes)
				superseded[r.Supersedes] = true
			}
		}
	})
}
