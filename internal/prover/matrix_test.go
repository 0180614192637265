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

// step is a point in the processing of a request or of the control plane at which faults are injected. It has occurred
// when event is seen. A step without an event is performed by the test itself, right after the fault has been injected at
// the location in the field at. expect lists the invariants that the history must put to the test, in addition to
// alwaysChecked.
type step struct {
	name, event string
	perform     func(c *cluster)
	at          location
	expect      []string
}

var alwaysChecked = []string{"P1", "P2", "P3", "P4", "P5", "P8"}

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
	{name: "join", perform: func(c *cluster) { c.start("r4") }, at: location{router: "r1", upstream: "engine-0"}},
	{name: "leave", perform: func(c *cluster) { c.leave("r3") }, at: location{router: "r3", upstream: "engine-0"},
		expect: []string{"P6", "P7"}},
}

const (
	engineOnly  = "the fault affects an engine, and the step involves none"
	reportsOnly = "the fault affects reports of engines or of the VM list, and the step involves none"
)

// excludedCells maps the combinations of step and fault that aren't tested to the reason.
var excludedCells = map[string]string{
	"leave/kill": "a killed router makes no planned stop",

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

// TestMatrix injects every fault at every step and checks the invariants in the recorded history.
func TestMatrix(t *testing.T) {
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			for _, f := range faults {
				if excludedCells[s.name+"/"+f.name] != "" {
					continue
				}
				t.Run(f.name, func(t *testing.T) {
					t.Parallel()
					inSubprocess(t, func(t *testing.T) { runCell(t, s, f) })
				})
			}
		})
	}
}

// Pairs of faults are chosen with a fixed seed, so that every run tests the same cells.
const (
	pairSeed  = 4
	pairCount = 40
)

// TestMatrixPairs injects two faults at the same step and checks the same invariants as TestMatrix.
func TestMatrixPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(pairSeed, 0))
	for range pairCount {
		s := steps[random.IntN(len(steps))]
		pair := random.Perm(len(faults))
		first, second := faults[pair[0]], faults[pair[1]]
		if excludedCells[s.name+"/"+first.name] != "" || excludedCells[s.name+"/"+second.name] != "" {
			continue
		}
		t.Run(s.name+"/"+first.name+"+"+second.name, func(t *testing.T) {
			t.Parallel()
			inSubprocess(t, func(t *testing.T) { runCell(t, s, first, second) })
		})
	}
}

// cellEnv is the environment variable that is set in the subprocess of a cell.
const cellEnv = "MATRIX_CELL"

// inSubprocess runs a cell in its own process with GOMAXPROCS=1. The runtime of the race detector (Go 1.26) occasionally
// crashes if two threads run timers of one synctest bubble at the same time, and a single processor also makes the order
// of goroutines reproducible.
func inSubprocess(t *testing.T, cell func(t *testing.T)) {
	if os.Getenv(cellEnv) != "" {
		synctest.Test(t, cell)
		return
	}
	pattern := "^" + strings.ReplaceAll(regexp.QuoteMeta(t.Name()), "/", "$/^") + "$"
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run="+pattern, "-test.v", "-test.timeout=120s")
	// By default, the race detector sleeps for 1 s before the process exits.
	command.Env = append(os.Environ(), "GOMAXPROCS=1", "GORACE=atexit_sleep_ms=0", cellEnv+"=1")
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

// inject switches faults on and, after their durations, off.
func (c *cluster) inject(faults []fault, at location) {
	for _, f := range faults {
		f.on(c, at)
		c.group.Go(func() error {
			for range int(f.duration / time.Second) {
				time.Sleep(time.Second)
				if f.repeat != nil {
					f.repeat(c, at)
				}
			}
			if f.off != nil {
				f.off(c, at)
			}
			return nil
		})
	}
}

// runCell runs the load and checks the history. The faults start when the step first occurs after the first 3 s of the
// load.
func runCell(t *testing.T, s step, faults ...fault) checker.History {
	c := newCluster(t)
	var once sync.Once
	time.AfterFunc(3*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onStep = func(step string, at location) {
			if step == s.event {
				once.Do(func() { c.inject(faults, at) })
			}
		}
		if s.perform != nil {
			once.Do(func() { c.group.Go(func() error { c.inject(faults, s.at); s.perform(c); return nil }) })
		}
	})
	c.group.Go(func() error {
		for range 4 {
			time.Sleep(4 * time.Second)
			c.edit(c.liveRouters()[0])
		}
		return nil
	})
	c.runLoad()
	c.checkRecovery(t)
	missed := false
	once.Do(func() { missed = true })
	if missed {
		t.Errorf("the step did not occur")
	}
	name := s.name
	for _, f := range faults {
		name += "/" + f.name
	}
	history := c.stop()
	prover.Report(t, name, history, checker.DefaultBounds(), append(s.expect, alwaysChecked...)...)
	return history
}
