package prover_test

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/prover"
	"coltsfootplank/internal/recorder"
)

// step is a moment in the life of a request or of the control plane; event is what shows it. A step without an event
// is taken by the cell itself, right after the fault was switched on at a router. expect lists the invariants that must
// have cases besides those that always have.
type step struct {
	name, event string
	take        func(c *cluster)
	at          target
	expect      []string
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
	{name: "catalogue_append", event: "catalogue_append"},
	{name: "read_back", event: "catalogue_read_back"},
	{name: "apply", event: "apply"},
	{name: "snapshot", event: "snapshot"},
	{name: "lease", event: "leases_append"},
	{name: "order", event: "order"},
	{name: "join", take: func(c *cluster) { c.start("r4") }, at: target{router: "r1", upstream: "engine-0"}},
	{name: "leave", take: func(c *cluster) { c.leave("r3") }, at: target{router: "r3", upstream: "engine-0"},
		expect: []string{"P6", "P7"}},
}

const (
	engineOnly  = "the fault is in an engine, which has no part in the step"
	reportsOnly = "the fault is in what engines and the VM list report, which has no part in the step"
)

// leftOut are the cells that make no sense, with the reason.
var leftOut = map[string]string{
	"leave/kill": "a router that is killed is not stopped as planned",

	"catalogue_append/engine_crash": engineOnly, "catalogue_append/straggler": engineOnly,
	"read_back/engine_crash": engineOnly, "read_back/straggler": engineOnly,
	"apply/engine_crash": engineOnly, "apply/straggler": engineOnly,
	"snapshot/engine_crash": engineOnly, "snapshot/straggler": engineOnly,

	"catalogue_append/stale_load": reportsOnly, "catalogue_append/cache_events_missing": reportsOnly, "catalogue_append/vm_list_late": reportsOnly,
	"read_back/stale_load": reportsOnly, "read_back/cache_events_missing": reportsOnly, "read_back/vm_list_late": reportsOnly,
	"apply/stale_load": reportsOnly, "apply/cache_events_missing": reportsOnly, "apply/vm_list_late": reportsOnly,
	"snapshot/stale_load": reportsOnly, "snapshot/cache_events_missing": reportsOnly, "snapshot/vm_list_late": reportsOnly,
	"catalogue_append/answers_reset": engineOnly, "catalogue_append/answers_silent": engineOnly, "catalogue_append/answers_half": engineOnly,
	"read_back/answers_reset": engineOnly, "read_back/answers_silent": engineOnly, "read_back/answers_half": engineOnly,
	"apply/answers_reset": engineOnly, "apply/answers_silent": engineOnly, "apply/answers_half": engineOnly,
	"snapshot/answers_reset": engineOnly, "snapshot/answers_silent": engineOnly, "snapshot/answers_half": engineOnly,

	"lease/cache_events_missing": reportsOnly, "order/cache_events_missing": reportsOnly,
}

// TestMatrix injects every fault at every step and judges the history.
func TestMatrix(t *testing.T) {
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			for _, f := range faults {
				if leftOut[s.name+"/"+f.name] != "" {
					continue
				}
				t.Run(f.name, func(t *testing.T) {
					t.Parallel()
					alone(t, func(t *testing.T) { runCell(t, s, f) })
				})
			}
		})
	}
}

// Pairs of faults are chosen by a fixed seed, so that every run has the same cells.
const (
	pairSeed  = 4
	pairCount = 40
)

// TestMatrixPairs injects two faults at the same step.
func TestMatrixPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(pairSeed, 0))
	for range pairCount {
		s := steps[random.IntN(len(steps))]
		pair := random.Perm(len(faults))
		first, second := faults[pair[0]], faults[pair[1]]
		if leftOut[s.name+"/"+first.name] != "" || leftOut[s.name+"/"+second.name] != "" {
			continue
		}
		t.Run(s.name+"/"+first.name+"+"+second.name, func(t *testing.T) {
			t.Parallel()
			alone(t, func(t *testing.T) { runCell(t, s, first, second) })
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
	pattern := "^" + strings.ReplaceAll(regexp.QuoteMeta(t.Name()), "/", "$/^") + "$"
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run="+pattern, "-test.v", "-test.timeout=120s")
	// The race detector waits for 1 s at the end of a process unless it is told not to.
	command.Env = append(os.Environ(), "GOMAXPROCS=1", "GORACE=atexit_sleep_ms=0", inCell+"=1")
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

// inject switches faults on and, after their times, off.
func (c *cluster) inject(faults []fault, at target) {
	for _, f := range faults {
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
}

// runCell runs the load with faults that start when a step is first seen 3 s after the start of the load.
func runCell(t *testing.T, s step, faults ...fault) {
	c := newCluster(t)
	var once sync.Once
	time.AfterFunc(3*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.watch = func(step string, at target) {
			if step == s.event {
				once.Do(func() { c.inject(faults, at) })
			}
		}
		if s.take != nil {
			once.Do(func() { c.group.Go(func() error { c.inject(faults, s.at); s.take(c); return nil }) })
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
	name := s.name
	for _, f := range faults {
		name += "/" + f.name
	}
	prover.Report(t, name, c.stop(), checker.DefaultBounds(), append(s.expect, always...)...)
}
