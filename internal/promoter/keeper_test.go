package promoter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

const (
	modelDeciders = 2
	modelGates    = 1
	// maxGeneration and maxEnd bound the explored instance: the deciders take over from each other and restart within them.
	maxGeneration = 2
	maxEnd        = 4
)

// modelRecord is a record in the directory.
type modelRecord struct {
	phase      kernel.RolloutPhase
	generation int64
	decider    string
}

// modelWrite is an append on a condition that may still arrive.
type modelWrite struct {
	record  modelRecord
	at      int
	pending bool
}

// modelDecider is a router that may be the decider.
type modelDecider struct {
	running bool
	keeper  Keeper
	record  modelRecord
	// hasRead is set while the last read of the directory, which ended at end, has led to no write.
	hasRead bool
	end     int
}

// modelGate is what a router may use. A stopped one uses nothing until it reads the directory.
type modelGate struct {
	phase   kernel.RolloutPhase
	stopped bool
}

// modelState is one state of the system. It is comparable, so that it can be found again.
type modelState struct {
	known    bool
	record   modelRecord
	end      int
	late     modelWrite
	deciders [modelDeciders]modelDecider
	gates    [modelGates]modelGate
}

func (r modelRecord) kernel() *kernel.RolloutRecord {
	return &kernel.RolloutRecord{Service: "s", To: "v2", Phase: r.phase, Order: 1, Generation: r.generation, Decider: r.decider}
}

func (s *modelState) found() *kernel.RolloutRecord {
	if !s.known {
		return nil
	}
	return s.record.kernel()
}

// store appends a record if the topic ends where its writer expects, and checks the properties.
func (s *modelState) store(t *testing.T, write modelWrite) bool {
	if write.at != s.end {
		return false
	}
	assert.Assert(t, !s.known || !s.record.phase.Final(), "a record after a final one: %+v after %+v", write.record, s.record)
	for _, gate := range s.gates {
		usesOld := gate.phase == kernel.RolloutTrial || gate.phase == kernel.RolloutReturning
		assert.Assert(t, write.record.phase != kernel.RolloutCompleted || gate.stopped || !usesOld, "completed while %+v", *s)
		assert.Assert(t, write.record.phase != kernel.RolloutRolledBack || gate.stopped || gate.phase != kernel.RolloutMoving,
			"rolled back while %+v", *s)
	}
	s.known, s.record, s.end = true, write.record, s.end+1
	return true
}

// clear is the condition of Decider.clear: each router has confirmed the phase or has stopped.
func (s *modelState) clear(phase kernel.RolloutPhase) bool {
	return !slices.ContainsFunc(s.gates[:], func(g modelGate) bool { return g.phase != phase && !g.stopped })
}

// choices returns the records that a decider may want to write. Which of them depends on evidence, so all are explored.
func (s *modelState) choices(d modelDecider) (choices []modelRecord) {
	if !d.keeper.claimed {
		return []modelRecord{d.record}
	}
	add := func(phase kernel.RolloutPhase) {
		next := d.record
		next.phase = phase
		choices = append(choices, next)
	}
	switch d.record.phase {
	case kernel.RolloutTrial:
		add(kernel.RolloutMoving)
		add(kernel.RolloutReturning)
	case kernel.RolloutMoving:
		add(kernel.RolloutReturning)
		if s.clear(kernel.RolloutMoving) {
			add(kernel.RolloutCompleted)
		}
	case kernel.RolloutReturning:
		if s.clear(kernel.RolloutReturning) {
			add(kernel.RolloutRolledBack)
		}
	}
	return choices
}

// read lets a decider read the directory: it takes the role, keeps it or loses it.
func (s *modelState) read(i int) {
	d := &s.deciders[i]
	name := fmt.Sprint("r", i)
	if !d.running {
		order := kernel.RolloutOrder{Service: "s", To: "v2", Duration: time.Second, Position: 1}
		record, ok := Start(name, order, s.found(), nil, time.Time{})
		if !ok || record.Generation > maxGeneration {
			return
		}
		*d = modelDecider{running: true, keeper: NewKeeper(record, s.found()), record: modelRecord{record.Phase, record.Generation, name}}
	}
	switch d.keeper.Observe(s.found()) {
	case StandingLost:
		*d = modelDecider{}
	case StandingOwn:
		d.record, d.hasRead, d.end = s.record, true, s.end
	default:
		d.hasRead, d.end = true, s.end
	}
}

// next returns all states that can follow.
func (s modelState) next(t *testing.T) (states []modelState) {
	step := func(change func(*modelState)) {
		after := s
		change(&after)
		if after != s && after.end <= maxEnd {
			states = append(states, after)
		}
	}
	for i, d := range s.deciders {
		step(func(a *modelState) { a.read(i) })
		step(func(a *modelState) { a.deciders[i] = modelDecider{} })
		if !d.running || !d.hasRead {
			continue
		}
		for _, record := range s.choices(d) {
			write := modelWrite{record: record, at: d.end, pending: true}
			// Acknowledged or refused.
			step(func(a *modelState) {
				a.deciders[i].hasRead = false
				if a.store(t, write) {
					a.deciders[i].keeper.Written()
					a.deciders[i].record = record
				}
			})
			doubt := func(a *modelState) {
				a.deciders[i].hasRead = false
				a.deciders[i].keeper.Doubt()
			}
			// No answer: stored, lost or late.
			step(func(a *modelState) { doubt(a); a.store(t, write) })
			step(doubt)
			if !s.late.pending {
				step(func(a *modelState) { doubt(a); a.late = write })
			}
		}
	}
	if s.late.pending {
		step(func(a *modelState) { a.late = modelWrite{}; a.store(t, s.late) })
	}
	for i := range s.gates {
		step(func(a *modelState) { a.gates[i].stopped = true })
		if s.known {
			step(func(a *modelState) { a.gates[i] = modelGate{phase: max(s.gates[i].phase, s.record.phase)} })
		}
		for _, d := range s.deciders {
			if d.running && d.keeper.claimed && !s.gates[i].stopped {
				step(func(a *modelState) { a.gates[i].phase = max(s.gates[i].phase, d.record.phase) })
			}
		}
	}
	return states
}

// TestRecordOfDeciders guards against an order with two outcomes, and against an outcome that is written while a router may
// still use the engines that are stopped then. It explores each interleaving of two deciders that read, write, restart and
// lose answers, and of a router that hears of the phase late, from a stale decider or not at all.
func TestRecordOfDeciders(t *testing.T) {
	seen := map[modelState]bool{{}: true}
	outcomes := make(map[kernel.RolloutPhase]int)
	for queue := []modelState{{}}; len(queue) > 0; {
		var following []modelState
		for _, state := range queue {
			for _, after := range state.next(t) {
				if !seen[after] {
					seen[after] = true
					outcomes[after.record.phase]++
					following = append(following, after)
				}
			}
		}
		queue = following
	}
	t.Logf("%d states explored, by phase of the record: %v", len(seen), outcomes)
	assert.Assert(t, outcomes[kernel.RolloutCompleted] > 0 && outcomes[kernel.RolloutRolledBack] > 0)
}
