package promoter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// orderFixture is one router that decides and uses a service, in virtual time.
type orderFixture struct {
	*testing.T
	now      time.Time
	gate     *Gate
	record   *kernel.RolloutRecord
	decider  *Decider
	position kernel.Position
}

func (f *orderFixture) order(to string) {
	f.position++
	f.gate.SetOrder(f.now, kernel.RolloutOrder{Service: "s", To: to, Duration: 10 * time.Second, Position: f.position, Deleted: to == ""}, true)
	f.decider = nil
}

// restore puts the directory back to a copy that has the given record of the rollout, and the last order elsewhere.
func (f *orderFixture) restore(copied *kernel.RolloutRecord) {
	f.record, f.decider = copied, nil
	f.position = kernel.PositionOf(f.position.Era()+1, 0)
}

// run passes time. The order's answers are good, as far as there are any.
func (f *orderFixture) run(span time.Duration, versions ...string) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		f.gate.SetVersions(versions)
		f.gate.Arrived()
		if !f.gate.Open() {
			continue
		}
		if f.decider == nil {
			previous := f.gate.Newest(f.record)
			record, ok := Start("r", *f.gate.Order(), previous, versions, f.now)
			if !ok {
				f.gate.Verify(f.now)
				continue
			}
			f.decider = NewDecider(f.now, f.now, *f.gate.Order(), record, previous, DefaultSettings())
		}
		around := Surroundings{Members: []Member{{Name: "r"}}, MembersKnown: true, Versions: versions, RecordReadAt: f.now}
		if record, ok := f.decider.Step(f.now, around); ok {
			f.decider.Recorded(f.now, record)
			f.record = &record
			f.gate.SetRecord(f.now, record)
		}
		if !f.gate.Open() {
			continue
		}
		f.gate.SetLease(f.now, f.decider.Report(f.now, f.gate.Report(f.now, "r", 1, true)))
		if left, _ := f.gate.LeaseLeft(f.now); left > 0 {
			f.gate.Use(1)
			f.gate.Observe(f.gate.Order().To, "/", OutcomeAnswered, 30*time.Millisecond)
		}
	}
}

// TestUnusualOrders guards against an order that can't be carried out as it stands and disrupts the service or has no defined
// outcome.
func TestUnusualOrders(t *testing.T) {
	both := []string{"v1", "v2"}
	for _, c := range []struct {
		name string
		run  func(f *orderFixture)
		// phase is that of the record at the end, to its version; usable are the versions that are then in use.
		recorded bool
		phase    kernel.RolloutPhase
		to       string
		usable   []string
	}{
		{"good version", func(f *orderFixture) { f.order("v2"); f.run(9*time.Second, both...) }, true, kernel.RolloutCompleted, "v2", []string{"v2", "v3"}},
		{"version without engines", func(f *orderFixture) { f.order("v2"); f.run(9*time.Second, "v1") }, true, kernel.RolloutRolledBack, "v2", []string{"v1", "v3"}},
		{"engines that come later", func(f *orderFixture) { f.order("v2"); f.run(time.Second, "v1"); f.run(8*time.Second, both...) },
			true, kernel.RolloutCompleted, "v2", []string{"v2", "v3"}},
		{"unknown service", func(f *orderFixture) { f.order("v2"); f.run(9 * time.Second) }, true, kernel.RolloutRolledBack, "v2", []string{"v1", "v3"}},
		{"the only version", func(f *orderFixture) { f.run(time.Second, "v2"); f.order("v2"); f.run(time.Second, "v2") },
			true, kernel.RolloutCompleted, "v2", []string{"v1", "v2", "v3"}},
		{"read twice", func(f *orderFixture) {
			f.order("v2")
			f.run(9*time.Second, both...)
			f.position--
			f.order("v2")
			f.run(time.Second, both...)
		},
			true, kernel.RolloutCompleted, "v2", []string{"v2", "v3"}},
		{"second order in the trial", func(f *orderFixture) {
			f.order("v2")
			f.run(3*time.Second, both...)
			f.order("v3")
			f.run(time.Second, "v1", "v2", "v3")
		},
			true, kernel.RolloutTrial, "v3", []string{"v1"}},
		{"order back after the move", func(f *orderFixture) {
			f.order("v2")
			f.run(6*time.Second, both...)
			f.order("v1")
			f.run(time.Second, both...)
		},
			true, kernel.RolloutCompleted, "v1", []string{"v1", "v3"}},
		{"deleted in the trial", func(f *orderFixture) {
			f.order("v2")
			f.run(3*time.Second, both...)
			f.order("")
			f.run(time.Second, both...)
		},
			true, kernel.RolloutRolledBack, "v2", []string{"v1", "v3"}},
		{"deleted after the move", func(f *orderFixture) {
			f.order("v2")
			f.run(6*time.Second, both...)
			f.order("")
			f.run(time.Second, both...)
		},
			true, kernel.RolloutRolledBack, "v2", []string{"v1", "v3"}},
		{"deleted before it was recorded", func(f *orderFixture) { f.order("v2"); f.order(""); f.run(time.Second, both...) },
			false, 0, "", []string{"v1", "v2", "v3"}},
		{"deleted at the end", func(f *orderFixture) {
			f.order("v2")
			f.run(9*time.Second, both...)
			f.order("")
			f.run(time.Second, both...)
		},
			true, kernel.RolloutCompleted, "v2", []string{"v1", "v2", "v3"}},
		{"restored in the trial, record lost", func(f *orderFixture) {
			f.order("v2")
			f.run(3*time.Second, both...)
			f.restore(nil)
			f.order("v2")
			f.run(6*time.Second, both...)
		},
			true, kernel.RolloutCompleted, "v2", []string{"v2", "v3"}},
		{"restored after the move, record of the trial", func(f *orderFixture) {
			f.order("v2")
			f.run(3*time.Second, both...)
			trial := *f.record
			f.run(3*time.Second, both...)
			f.restore(&trial)
			f.order("v2")
			f.run(300*time.Millisecond, both...)
		},
			true, kernel.RolloutMoving, "v2", []string{"v2"}},
		{"restored twice after the move", func(f *orderFixture) {
			f.order("v2")
			f.run(6*time.Second, both...)
			for range 2 {
				f.restore(nil)
				f.order("v2")
				f.run(300*time.Millisecond, both...)
			}
		},
			true, kernel.RolloutMoving, "v2", []string{"v2"}},
		{"restored after the end, and ordered once more", func(f *orderFixture) {
			f.order("v2")
			f.run(9*time.Second, "v1")
			f.restore(f.record)
			f.order("v2")
			f.run(time.Second, both...)
			assert.Check(f, !f.gate.Open(), "the order that had ended began anew")
			began := *f.record
			began.Phase, began.Generation = kernel.RolloutTrial, began.Generation+5
			assert.Check(f, f.gate.Newest(&began).Phase.Final(), "a decider that knows nothing of the end began anew")
			f.order("v2")
			f.run(9*time.Second, both...)
		},
			true, kernel.RolloutCompleted, "v2", []string{"v2", "v3"}},
		{"restored, and another order at a lower offset", func(f *orderFixture) {
			f.position = 50
			f.order("v2")
			f.run(9*time.Second, both...)
			f.restore(f.record)
			f.order("v3")
			f.run(9*time.Second, "v2", "v3")
		},
			true, kernel.RolloutCompleted, "v3", []string{"v1", "v3"}},
		{"no order", func(f *orderFixture) { f.run(time.Second, both...) }, false, 0, "", []string{"v1", "v2", "v3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &orderFixture{T: t, now: time.Unix(1000, 0), gate: NewGate()}
			f.gate.SetVersions([]string{"v1", "v2"})
			c.run(f)
			assert.Equal(t, f.record != nil, c.recorded)
			if f.record != nil {
				assert.Equal(t, f.record.Phase, c.phase, f.record.Reason)
				assert.Equal(t, f.record.To, c.to)
			}
			f.gate.SetVersions([]string{"v1", "v2", "v3"})
			var usable []string
			for _, version := range []string{"v1", "v2", "v3"} {
				if f.gate.Permit(f.now, version) == Allowed {
					usable = append(usable, version)
				}
			}
			assert.DeepEqual(t, usable, c.usable)
		})
	}
}
