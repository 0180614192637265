package detector

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSchedulerHosts guards against schedulers on VMs that are far weaker than others, and against too few scheduler
// hosts for failover.
func TestSchedulerHosts(t *testing.T) {
	cases := []struct {
		name       string
		processors []uint32
		want       int
	}{
		{"not known", []uint32{0, 0, 0, 0}, 4},
		{"alike", []uint32{272, 272, 272}, 3},
		{"three strong ones", []uint32{800, 134, 800, 134, 800}, 3},
		{"too few strong ones", []uint32{800, 134, 800, 134}, 4},
	}
	for _, c := range cases {
		var members []Member
		for i, processor := range c.processors {
			members = append(members, Member{Name: string(rune('a' + i)), State: alive, Processor: processor})
		}
		view := newView(1, "a", members, vmHints{}, nil)
		assert.Equal(t, len(view.SchedulerHosts()), c.want, c.name)
		assert.Equal(t, len(view.Eligible()), len(members), c.name)
	}
}
