package abstainer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// observation is a notice that an upstream gave, and when.
type observation struct {
	after    time.Duration
	upstream Upstream
	notice   kernel.Notice
}

// TestNoticeForgotten guards against a notice that ends too early, and against one that outlives the process that gave it.
func TestNoticeForgotten(t *testing.T) {
	e1, e2, unknown := Upstream{"e", 1}, Upstream{"e", 2}, Upstream{"e", 0}
	leaving := kernel.Notice{Leaving: true}
	pause := func(d time.Duration) kernel.Notice { return kernel.Notice{Pause: d} }
	cases := []struct {
		name       string
		observed   []observation
		registered bool
		after      time.Duration
		asks       Upstream
		want       kernel.Notice
	}{
		{"nothing observed", nil, true, 0, e1, kernel.Notice{}},
		{"leaving", []observation{{0, e1, leaving}}, true, 0, e1, leaving},
		{"leaving, a day later", []observation{{0, e1, leaving}}, true, 24 * time.Hour, e1, leaving},
		{"leaving, not registered", []observation{{0, e1, leaving}}, false, time.Minute, e1, leaving},
		{"another upstream", []observation{{0, e1, leaving}}, true, 0, Upstream{"f", 1}, kernel.Notice{}},
		{"next process of the same name", []observation{{0, e1, leaving}}, true, 0, e2, kernel.Notice{}},
		{"process not known when it is asked", []observation{{0, e1, leaving}}, true, 0, unknown, leaving},
		{"process not known when it was observed", []observation{{0, unknown, leaving}}, true, 0, e1, leaving},
		{"process not known, not registered", []observation{{0, unknown, leaving}}, false, time.Minute / 2, e1, leaving},
		{"process not known when it was observed, a minute later", []observation{{0, unknown, leaving}}, true, time.Minute, e1, kernel.Notice{}},
		{"process not known, after a notice of a known one",
			[]observation{{0, unknown, leaving}, {0, e1, pause(time.Hour)}}, true, time.Minute, e2, kernel.Notice{}},
		{"process not known, beside a notice of a known one",
			[]observation{{0, e1, leaving}, {0, unknown, pause(time.Second)}}, true, 0, e1, kernel.Notice{Leaving: true, Pause: time.Second}},
		{"notice of the next process", []observation{{0, e1, leaving}, {0, e2, pause(time.Second)}}, true, 0, e2, pause(time.Second)},
		{"answers without a notice", []observation{{0, e1, leaving}, {time.Second, e1, kernel.Notice{}}}, true, 0, e1, leaving},
		{"pause", []observation{{0, e1, pause(2 * time.Second)}}, true, 1500 * time.Millisecond, e1, pause(500 * time.Millisecond)},
		{"end of a pause", []observation{{0, e1, pause(2 * time.Second)}}, true, 2 * time.Second, e1, kernel.Notice{}},
		{"longer pause after a shorter", []observation{{0, e1, pause(time.Second)}, {0, e1, pause(3 * time.Second)}}, true, 0, e1, pause(3 * time.Second)},
		{"shorter pause after a longer", []observation{{0, e1, pause(3 * time.Second)}, {0, e1, pause(time.Second)}}, true, 0, e1, pause(3 * time.Second)},
		{"pause of one that leaves", []observation{{0, e1, leaving}, {0, e1, pause(time.Second)}}, true, 2 * time.Second, e1, leaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(Options{
					Registered: func(string) bool { return c.registered }, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
				})
				for _, o := range c.observed {
					time.Sleep(o.after)
					a.Observe(o.upstream, o.notice)
				}
				time.Sleep(c.after)
				// Other upstreams' notices drop the expired ones.
				a.Observe(Upstream{"other", 1}, pause(time.Hour))
				assert.Equal(t, a.Asked(c.asks), c.want)
			})
		})
	}
}

// TestNoticesKeptForEver guards against memory that grows with each upstream that leaves or asks for a pause.
func TestNoticesKeptForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{Registered: func(name string) bool { return name == "stays" }, Metrics: metrics.NewRegistry(), Logger: zap.NewNop()})
		a.Observe(Upstream{"gone", 1}, kernel.Notice{Leaving: true})
		a.Observe(Upstream{"stays", 1}, kernel.Notice{Leaving: true})
		a.Observe(Upstream{"paused", 1}, kernel.Notice{Pause: time.Second})
		assert.Equal(t, len(a.Dump()), 3)
		time.Sleep(leavingRetention)
		dump := a.Dump()
		assert.Equal(t, len(dump), 1)
		assert.Equal(t, dump[0].Upstream, "stays")
	})
}
