package launcher

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// parts are the clients of a platform on which one fault is on.
type parts struct {
	*Platform
	engine  kernel.EngineProtocol
	desk    kernel.ServiceProtocol
	log     kernel.LogProtocol
	vms     kernel.VMListProtocol
	weights kernel.WeightStoreProtocol
}

func booking(body string) kernel.ServiceRequest {
	return kernel.ServiceRequest{RequestID: "r", Method: http.MethodPost, Path: "/v1/bookings", Body: []byte(body)}
}

// loadWithin asks the engine for its load and returns the time that it took.
func (p parts) loadWithin(t *testing.T, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	started := time.Now()
	_, err := p.engine.Load(ctx)
	return time.Since(started), err
}

// warm runs a prompt with one prefix and returns its export.
func (p parts) warm(t *testing.T) error {
	request := prompt("warm")
	request.PrefixHashes = []uint64{7}
	stream, err := p.engine.Generate(t.Context(), request)
	assert.NilError(t, err)
	_, _, _ = drain(stream, "warm")
	_, err = p.engine.ExportKV(t.Context(), 7)
	return err
}

// TestFaultEffects guards against a fault that can be switched on but changes nothing. Each check reports whether
// the effect was seen, and must report false when the fault is off.
func TestFaultEffects(t *testing.T) {
	cases := []struct {
		target, fault string
		value         any
		seen          func(t *testing.T, p parts) bool
	}{
		{target: "e-0", fault: "freeze", seen: func(t *testing.T, p parts) bool {
			_, err := p.loadWithin(t, 200*time.Millisecond)
			return isA[*kernel.ConnectionLostError](err)
		}},
		{target: "e-0", fault: "slow", value: 300, seen: func(t *testing.T, p parts) bool {
			took, err := p.loadWithin(t, 5*time.Second)
			return err == nil && took >= 300*time.Millisecond
		}},
		{target: "engines", fault: "down", value: 60_000, seen: func(t *testing.T, p parts) bool {
			_, err := p.loadWithin(t, time.Second)
			return isA[*kernel.NotSentError](err)
		}},
		{target: "e-0", fault: "straggler", value: 0.05, seen: func(t *testing.T, p parts) bool {
			started := time.Now()
			_, _, _ = generate(t, p.engine, "s")
			return time.Since(started) >= 400*time.Millisecond
		}},
		{target: "e-0", fault: "stale_load", seen: func(t *testing.T, p parts) bool {
			_, _ = p.engine.Load(t.Context())
			request := prompt("s")
			request.MaxTokens = 10_000
			stream, err := p.engine.Generate(t.Context(), request)
			assert.NilError(t, err)
			defer func() { _ = stream.Close() }()
			time.Sleep(100 * time.Millisecond)
			report, err := p.engine.Load(t.Context())
			return err == nil && report.Running == 0 && report.AgeMS >= 100
		}},
		{target: "e-0", fault: "lose_cache_events", seen: func(t *testing.T, p parts) bool {
			assert.NilError(t, p.warm(t))
			events, err := p.engine.CacheEvents(t.Context(), 0)
			return err == nil && len(events.Events) == 0
		}},
		{target: "e-0", fault: "forget_streams", seen: func(t *testing.T, p parts) bool {
			_, _, _ = generate(t, p.engine, "s")
			_, err := p.engine.Resume(t.Context(), "s", 0)
			return isA[*kernel.StreamUnknownError](err)
		}},
		{target: "e-0", fault: "leaving", seen: func(t *testing.T, p parts) bool {
			_, _, _ = generate(t, p.engine, "s")
			report, err := p.engine.Load(t.Context())
			return err == nil && report.Draining && p.Stats().Totals.RunsWhileLeaving == 1
		}},
		{target: "e-0", fault: "ignore_fencing", seen: func(t *testing.T, p parts) bool {
			order := kernel.Order{Fencing: 5, Kind: kernel.OrderSetRole}
			assert.NilError(t, p.engine.Order(t.Context(), order))
			order.Fencing = 4
			return p.engine.Order(t.Context(), order) == nil
		}},
		{target: "d-0", fault: "reject", value: 503, seen: func(t *testing.T, p parts) bool {
			answer, err := p.desk.Call(t.Context(), booking("b"))
			return err == nil && answer.Status == 503 && p.Stats().Desks.Runs == 0
		}},
		{target: "desks", fault: "poison", value: "bad", seen: func(t *testing.T, p parts) bool {
			_, err := p.desk.Call(t.Context(), booking("a bad one"))
			return isA[*kernel.ConnectionLostError](err) && p.Stats().Desks.Crashes == 1
		}},
		{target: "d-0", fault: "straggler", value: 0.005, seen: func(t *testing.T, p parts) bool {
			started := time.Now()
			_, err := p.desk.Call(t.Context(), booking("b"))
			return err == nil && time.Since(started) >= 200*time.Millisecond
		}},
		{target: "d-0", fault: "leaving", seen: func(t *testing.T, p parts) bool {
			report, err := p.desk.Load(t.Context())
			return err == nil && report.Draining
		}},
		{target: "log", fault: "append_outage", seen: func(t *testing.T, p parts) bool {
			_, appendErr := p.log.Append(t.Context(), "s", nil)
			_, readErr := p.log.Read(t.Context(), "s", 0, 1, 0)
			return isA[*kernel.LogUnavailableError](appendErr) && readErr == nil
		}},
		{target: "vm_list", fault: "outage", seen: func(t *testing.T, p parts) bool {
			_, err := p.vms.VMs(t.Context())
			return isA[*kernel.RejectedError](err)
		}},
		{target: "vm_list", fault: "stale", seen: func(t *testing.T, p parts) bool {
			mustSet(t, p.Platform, "engines", "leaving", nil)
			time.Sleep(600 * time.Millisecond)
			rows, err := p.vms.VMs(t.Context())
			assert.NilError(t, err)
			return !slices.ContainsFunc(rows, func(vm kernel.VM) bool { return vm.State == kernel.VMLeaving })
		}},
		{target: "weights", fault: "outage", seen: func(t *testing.T, p parts) bool {
			return isA[*kernel.RejectedError](p.weights.Fetch(t.Context(), "m"))
		}},
		{target: "weights", fault: "rate", value: 1000, seen: func(t *testing.T, p parts) bool {
			assert.NilError(t, p.weights.Fetch(t.Context(), "m"))
			time.Sleep(20 * time.Millisecond)
			return p.weights.Fetch(t.Context(), "m") == nil
		}},
	}
	for _, c := range cases {
		for _, on := range []bool{true, false} {
			name := c.target + " " + c.fault
			if !on {
				name += " off"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				p := start(t)
				if on {
					mustSet(t, p, c.target, c.fault, c.value)
				}
				assert.Equal(t, c.seen(t, connectAll(t, p)), on)
			})
		}
	}
}

// TestClearCache guards against a cache that keeps prefixes which the fault should have emptied.
func TestClearCache(t *testing.T) {
	p := connectAll(t, start(t))
	assert.NilError(t, p.warm(t))
	mustSet(t, p.Platform, "e-0", "clear_cache", nil)
	_, err := p.engine.ExportKV(t.Context(), 7)
	assert.Assert(t, isA[*kernel.RejectedError](err), "%v", err)
}

func connectAll(t *testing.T, p *Platform) parts {
	return parts{
		Platform: p, engine: engineClient(t, p, 0),
		desk:    connect(t, kernel.Services, "httpservice", p.desks[0].Address()),
		log:     connect(t, kernel.Logs, "httplog", p.log.Address()),
		vms:     connect(t, kernel.VMLists, "httpvmlist", p.vms.Address()),
		weights: connect(t, kernel.WeightStores, "httpweights", p.weights.Address()),
	}
}
