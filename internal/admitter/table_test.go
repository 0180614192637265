package admitter

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTable guards against another order of closing than the documented one, which a crowd could use to keep others out.
func TestTable(t *testing.T) {
	const keepIdle = 12 * time.Second
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		// steps are: "+A" connects from address A, "aN" and "iN" make connection N active or idle, "gN=B" sets the memory of
		// its head, "xN" closes it, "w" waits for keepIdle, "s" for a second. want lists what each step closes.
		steps, want string
	}{
		{"the oldest unfinished head first", "+a +b a1 i1 +c +d", "- - - - - 2"},
		{"an idle connection that may still be reused stays", "+a a1 i1 +b a2 +c a3 +d", "- - - - - - - refused"},
		{"an idle connection after its time", "+a a1 i1 +b a2 +c a3 w +d", "- - - - - - - - 1"},
		{"the longest idle one of those that may be reused yields", "+a a1 +b a2 i2 i1 +c a3 i3 s +d", "- - - - - - - - - - 2"},
		{"only one of them at a time", "+a a1 i1 +b a2 i2 +c a3 i3 s +d x1 a4 +e s +e", "- - - - - - - - - - 1 - - refused - 2"},
		{"an unfinished head before them", "+a a1 i1 +b a2 i2 +c s +d", "- - - - - - - - 3"},
		{"requests are never closed", "+a a1 +b a2 +c a3 w +d", "- - - - - - - refused"},
		{"the oldest of its own address", "+b +a +a +a", "- - - 2"},
		{"finished heads don't count for the address", "+a a1 +a a2 +a", "- - - - -"},
		{"the largest head for memory", "+a +b g1=60 g2=50 g1=55", "- - - 1 -"},
		{"a head too large itself", "+a g1=101", "- 1"},
		{"the heads of requests count and stay", "+a g1=90 a1 +b g2=20", "- - - - 2"},
		{"an idle connection has no head", "+a g1=90 a1 i1 +b g2=90", "- - - - - -"},
		{"closed ones leave room", "+a +b +c x1 +d", "- - - - -"},
		{"closing ones count for a while", "+a +b +c +d +e", "- - - 1 refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(Bounds{Connections: 3, PerAddress: 2, HeadMemory: 100}, nil)
			var entries []*entry
			now := start
			var got []string
			for _, step := range strings.Fields(c.steps) {
				now = now.Add(time.Millisecond)
				var closed *entry
				refused := false
				number, charge := 0, int64(0)
				if step[0] != '+' && step[0] != 'w' && step[0] != 's' {
					_, _ = fmt.Sscanf(step[1:], "%d=%d", &number, &charge)
				}
				switch step[0] {
				case '+':
					e := &entry{address: netip.AddrFrom4([4]byte{127, 0, 0, step[1]})}
					entries = append(entries, e)
					var ok bool
					closed, _, ok = table.admit(e, now, keepIdle)
					refused = !ok
				case 'a':
					table.begin(entries[number-1], active, now)
				case 'i':
					table.begin(entries[number-1], idle, now)
				case 'g':
					closed = table.grow(entries[number-1], charge)
				case 'x':
					table.end(entries[number-1])
				case 'w':
					now = now.Add(keepIdle)
				case 's':
					now = now.Add(time.Second)
				}
				text := "-"
				for i, e := range entries {
					if e == closed {
						text = fmt.Sprint(i + 1)
					}
				}
				if refused {
					text = "refused"
				}
				got = append(got, text)
			}
			assert.Equal(t, strings.Join(got, " "), c.want)
		})
	}
}

// TestTableCounts guards against counts that drift from the connections that are open, which would end in a router that
// refuses all clients or bounds none.
func TestTableCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(Bounds{Connections: 5, PerAddress: 3, HeadMemory: 100}, nil)
		var entries []*entry
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			e := &entry{address: netip.AddrFrom4([4]byte{127, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "address"))})}
			step := 0
			if len(entries) > 0 {
				step = rapid.IntRange(0, 5).Draw(t, "step")
				e = rapid.SampledFrom(entries).Draw(t, "entry")
			}
			switch step {
			case 0:
				fresh := &entry{address: e.address}
				if _, _, ok := table.admit(fresh, now, 2*time.Second); ok {
					entries = append(entries, fresh)
				}
			case 1:
				table.begin(e, rapid.SampledFrom([]phase{unfinished, active, idle}).Draw(t, "phase"), now)
			case 2:
				table.grow(e, rapid.Int64Range(0, 80).Draw(t, "charge"))
			case 3:
				table.readmit(e, active, now)
			case 4, 5:
				table.end(e)
			}
			open, closing, memory := 0, 0, int64(0)
			for _, e := range entries {
				switch {
				case e.gone:
				case e.removed:
					closing++
				default:
					open++
					memory += e.charge
				}
			}
			if open != table.open() || closing != table.closing || memory != table.headMemory {
				t.Fatalf("%d open, %d closing, %d bytes; counted %d, %d, %d", open, closing, memory, table.open(), table.closing, table.headMemory)
			}
		}
	})
}
