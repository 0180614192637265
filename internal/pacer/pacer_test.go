package pacer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is what happens to a window in a test, second by second unless the event states another delay.
type event func(w *Window, now time.Time)

func began(s Start) event { return func(w *Window, now time.Time) { w.Start(now, s) } }
func recovered(w *Window, now time.Time) {
	w.RecordOutage(now)
	w.Recover(now)
}
func returned(w *Window, now time.Time) { w.Readmit(now) }
func answered(inFlight int) event {
	return func(w *Window, now time.Time) { w.Answered(now, Run{GrantedAt: now, InFlight: inFlight, Slots: 7}) }
}
func late(inFlight int) event {
	return func(w *Window, now time.Time) { w.Late(now, Run{GrantedAt: now, InFlight: inFlight, Slots: 7}) }
}
func failed(w *Window, now time.Time) { w.Failed(now, Run{GrantedAt: now, InFlight: 1, Slots: 7}) }
func lateOld(w *Window, now time.Time) {
	w.Late(now, Run{GrantedAt: now.Add(-time.Minute), InFlight: 7, Slots: 7})
}
func adopted(n int) event { return func(w *Window, _ time.Time) { w.Adopt(n) } }
func times(n int, e event) (es []event) {
	for range n {
		es = append(es, e)
	}
	return es
}
func in(lists ...[]event) (es []event) {
	for _, l := range lists {
		es = append(es, l...)
	}
	return es
}

// TestWindow guards against a window that opens without evidence, that stays closed in spite of answers in time, or that
// counts one cause several times.
func TestWindow(t *testing.T) {
	now := Start{BornAt: start}
	cases := []struct {
		name   string
		events []event
		// interval is the time between two events.
		interval time.Duration
		// want is the window; 0 means that there is none.
		want int
	}{
		{"started", []event{began(now)}, 0, 2},
		{"cold", []event{began(Start{BornAt: start, Cold: time.Second})}, 0, 1},
		{"others failed at their first requests", []event{began(Start{BornAt: start, OthersFailed: true})}, 0, 1},
		{"started long ago", []event{began(Start{BornAt: start.Add(-time.Minute)})}, 0, 0},
		{"started long ago, but still cold", []event{began(Start{BornAt: start.Add(-time.Minute), Cold: time.Hour})}, 0, 1},
		{"start time unknown", []event{began(Start{})}, 0, 2},
		{"start time ahead of the clock", []event{began(Start{BornAt: start.Add(time.Hour)})}, 0, 2},
		{"sound", in([]event{began(now)}, times(2, answered(2))), 0, 7},
		{"ended at full use", in([]event{began(now)}, times(9, answered(7))), 0, 0},
		{"not ended without full use", in([]event{began(now)}, times(9, answered(2))), 0, 7},
		{"ended after a long time", in([]event{began(now)}, times(5, answered(2))), 15 * time.Second, 0},
		{"late alone", in([]event{began(now)}, times(3, late(1))), 0, 1},
		{"warm after late answers", in([]event{began(now)}, times(3, late(1)), times(3, answered(1))), 0, 7},
		{"late at full use", in([]event{began(now)}, times(2, answered(2)), []event{late(7)}), 0, 6},
		{"opens by one after that", in([]event{began(now)}, times(2, answered(2)), []event{late(7)}, times(5, answered(5))), 0, 6},
		{"answers from before the change", in([]event{began(now)}, times(2, answered(2)), []event{late(7), lateOld, lateOld}), 0, 6},
		{"failed", in([]event{began(now)}, times(2, answered(2)), []event{failed}), 0, 3},
		{"recovered once", in([]event{recovered}, times(3, answered(1))), 0, 7},
		{"flapping", in([]event{recovered, answered(1), recovered, answered(1), recovered}, times(3, answered(1))), 0, 3},
		{"failed probes of one outage", in(times(5, recovered), times(3, answered(1))), 0, 7},
		{"flapping long ago", in([]event{recovered, answered(1), recovered}, times(3, answered(1))), 2 * time.Minute, 7},
		{"adopted", []event{began(now), adopted(5)}, 0, 5},
		{"readmitted", in([]event{returned}, times(2, answered(1))), 0, 4},
		{"readmitted fully", in([]event{returned}, times(3, answered(1))), 0, 0},
	}
	for _, k := range cases {
		var w Window
		at := start
		for _, e := range k.events {
			e(&w, at)
			at = at.Add(k.interval)
		}
		assert.Equal(t, w.Requests(), k.want, k.name)
	}
}

// TestLimit guards against a pool that waits for itself, and against a share of a window without any request.
func TestLimit(t *testing.T) {
	cases := []struct {
		name          string
		slots, earned int
		share         float64
		want          int
	}{
		{"all engines new", 42, 0, 1, 0},
		{"few tried", 42, 7, 1, 5},
		{"half tried", 42, 21, 1, 2},
		{"part of a router", 42, 42, 0.5, 1},
		{"small part", 42, 42, 0.01, 1},
		{"no slots", 0, 0, 1, 0},
	}
	for _, k := range cases {
		var w Window
		w.Start(start, Start{BornAt: start})
		assert.Equal(t, w.Limit(7, Floor(k.slots, k.earned), k.share), k.want, k.name)
	}
}

// TestPause guards against an engine that gets one late request after the other, and against one that is paused for a
// single late answer.
func TestPause(t *testing.T) {
	cases := []struct {
		name  string
		lates int
		want  time.Duration
	}{
		{"one", 1, 0},
		{"two", 2, 100 * time.Millisecond},
		{"four", 4, 400 * time.Millisecond},
		{"many", 90, time.Second},
	}
	for _, k := range cases {
		var w Window
		w.Start(start, Start{BornAt: start})
		for range k.lates {
			late(1)(&w, start)
		}
		assert.Equal(t, w.Pause(), k.want, k.name)
		answered(1)(&w, start)
		assert.Equal(t, w.Pause(), time.Duration(0), k.name)
	}
}
