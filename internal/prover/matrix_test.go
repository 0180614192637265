package prover_test

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/prover"
	"coltsfootplank/internal/recorder"
)

// step is a moment in the life of a request or of the control plane; event is what shows it.
type step struct {
	name, event string
}

var always = []string{"P1", "P2", "P3", "P4", "P5", "P8"}

var steps = []step{
	{name: "accept", event: string(recorder.Accepted)},
	{name: "ticket", event: string(recorder.Ticketed)},
	{name: "grant", event: string(recorder.Granted)},
	{name: "claim", event: string(recorder.Claimed)},
	{name: "dispatch", event: string(recorder.Dispatched)},
	{name: "first_token", event: string(recorder.FirstToken)},
	{name: "mid_stream", event: "mid_stream"},
	{name: "last_token", event: "last_token"},
	{name: "reply", event: string(recorder.Answered)},
	{name: "release", event: string(recorder.Released)},
}

// TestMatrix injects every fault at every step and judges the history.
func TestMatrix(t *testing.T) {
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			for _, f := range faults {
				t.Run(f.name, func(t *testing.T) {
					t.Parallel()
					alone(t, func(t *testing.T) { runCell(t, s, f) })
				})
			}
		})
	}
}

// inCell is set in the environment of the process of one cell.
const inCell = "MATRIX_CELL"

// alone runs a cell in a process of its own with a single processor: the race detector's runtime (Go 1.26) crashes now
// and then if two threads run timers of one synctest bubble at the same moment, and a single processor also makes the
// order of goroutines repeat.
func alone(t *testing.T, cell func(t *testing.T)) {
	if os.Getenv(inCell) != "" {
		synctest.Test(t, cell)
		return
	}
	pattern := "^" + strings.ReplaceAll(t.Name(), "/", "$/^") + "$"
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run="+pattern, "-test.v", "-test.timeout=120s")
	command.Env = append(os.Environ(), "GOMAXPROCS=1", inCell+"=1")
	output, err := command.CombinedOutput()
	for line := range strings.Lines(string(output)) {
		if err != nil || strings.Contains(line, "CELL ") {
			t.Log(strings.TrimSpace(line))
		}
	}
	if err != nil {
		t.Errorf("the cell failed: %v", err)
	}
}

// inject switches a fault on and, after its time, off.
func (c *cluster) inject(f fault, at target) {
	f.on(c, at)
	c.group.Go(func() error {
		for range int(f.lasts / time.Second) {
			time.Sleep(time.Second)
			if f.again != nil {
				f.again(c, at)
			}
		}
		if f.off != nil {
			f.off(c, at)
		}
		return nil
	})
}

// runCell runs the load with a fault that starts when a step is first seen 3 s after the start of the load.
func runCell(t *testing.T, s step, f fault) {
	c := newCluster(t)
	var once sync.Once
	time.AfterFunc(3*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.watch = func(step string, at target) {
			if step == s.event {
				once.Do(func() { c.inject(f, at) })
			}
		}
	})
	c.group.Go(func() error {
		for range 4 {
			time.Sleep(4 * time.Second)
			c.edit(c.live()[0])
		}
		return nil
	})
	c.load()
	c.settle(t)
	seen := false
	once.Do(func() { seen = true })
	if seen {
		t.Errorf("the step was not seen")
	}
	prover.Report(t, s.name+"/"+f.name, c.stop(), checker.DefaultBounds(), always...)
}
