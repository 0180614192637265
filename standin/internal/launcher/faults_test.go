package launcher

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// clients holds a platform and clients of its first engine, its first desk and its services.
type clients struct {
	*Platform
	engine  kernel.EngineProtocol
	desk    kernel.ServiceProtocol
	log     kernel.LogProtocol
	vms     kernel.VMListProtocol
	weights kernel.WeightStoreProtocol
}

func bookingRequest(body string) kernel.ServiceRequest {
	return kernel.ServiceRequest{RequestID: "r", Method: http.MethodPost, Path: "/v1/bookings", Body: []byte(body)}
}

// measureLoad requests the engine's load report and returns the elapsed time.
func (p clients) measureLoad(t *testing.T, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	started := time.Now()
	_, err := p.engine.Load(ctx)
	return time.Since(started), err
}

// cachePrefix runs a prompt with one prefix and returns the error of exporting that prefix.
func (p clients) cachePrefix(t *testing.T) error {
	request := generateRequest("warm")
	request.PrefixHashes = []uint64{7}
	stream, err := p.engine.Generate(t.Context(), request)
	assert.NilError(t, err)
	_, _, _ = readStream(stream, "warm")
	_, err = p.engine.ExportKV(t.Context(), 7)
	return err
}

// TestFaultEffects guards against a fault that can be switched on but has no effect. Each case runs twice: observed
// must return true while the fault is on and false while it is off.
func TestFaultEffects(t *testing.T) {
	cases := []struct {
		target, fault string
		value         any
		observed      func(t *testing.T, p clients) bool
	}{
		{target: "e-0", fault: "freeze", observed: func(t *testing.T, p clients) bool {
			_, err := p.measureLoad(t, 200*time.Millisecond)
			return isErrorType[*kernel.ConnectionLostError](err)
		}},
		{target: "e-0", fault: "slow", value: 300, observed: func(t *testing.T, p clients) bool {
			took, err := p.measureLoad(t, 5*time.Second)
			return err == nil && took >= 300*time.Millisecond
		}},
		{target: "engines", fault: "down", value: 60_000, observed: func(t *testing.T, p clients) bool {
			_, err := p.measureLoad(t, time.Second)
			return isErrorType[*kernel.NotSentError](err)
		}},
		{target: "e-0", fault: "straggler", value: 0.05, observed: func(t *testing.T, p clients) bool {
			started := time.Now()
			_, _, _ = generate(t, p.engine, "s")
			return time.Since(started) >= 400*time.Millisecond
		}},
		{target: "e-0", fault: "stale_load", observed: func(t *testing.T, p clients) bool {
			_, _ = p.engine.Load(t.Context())
			request := generateRequest("s")
			request.MaxTokens = 10_000
			stream, err := p.engine.Generate(t.Context(), request)
			assert.NilError(t, err)
			defer func() { _ = stream.Close() }()
			time.Sleep(100 * time.Millisecond)
			report, err := p.engine.Load(t.Context())
			return err == nil && report.Running == 0 && report.AgeMS >= 100
		}},
		{target: "e-0", fault: "lose_cache_events", observed: func(t *testing.T, p clients) bool {
			assert.NilError(t, p.cachePrefix(t))
			events, err := p.engine.CacheEvents(t.Context(), 0)
			return err == nil && len(events.Events) == 0
		}},
		{target: "e-0", fault: "forget_streams", observed: func(t *testing.T, p clients) bool {
			_, _, _ = generate(t, p.engine, "s")
			_, err := p.engine.Resume(t.Context(), "s", 0)
			return isErrorType[*kernel.StreamUnknownError](err)
		}},
		{target: "e-0", fault: "reject_resumes", value: 503, observed: func(t *testing.T, p clients) bool {
			_, _, _ = generate(t, p.engine, "s")
			_, err := p.engine.Resume(t.Context(), "s", 0)
			var rejected *kernel.RejectedError
			return errors.As(err, &rejected) && rejected.Status == 503
		}},
		{target: "e-0", fault: "leaving", observed: func(t *testing.T, p clients) bool {
			_, _, _ = generate(t, p.engine, "s")
			report, err := p.engine.Load(t.Context())
			return err == nil && report.Draining && p.Stats().Totals.RunsWhileLeaving == 1
		}},
		{target: "e-0", fault: "ignore_fencing", observed: func(t *testing.T, p clients) bool {
			order := kernel.Order{Fencing: 5, Kind: kernel.OrderSetRole}
			assert.NilError(t, p.engine.Order(t.Context(), order))
			order.Fencing = 4
			return p.engine.Order(t.Context(), order) == nil
		}},
		{target: "d-0", fault: "reject", value: 503, observed: func(t *testing.T, p clients) bool {
			response, err := p.desk.Call(t.Context(), bookingRequest("b"))
			return err == nil && response.Status == 503 && p.Stats().Desks.Runs == 0
		}},
		{target: "desks", fault: "poison", value: "bad", observed: func(t *testing.T, p clients) bool {
			_, err := p.desk.Call(t.Context(), bookingRequest("a bad one"))
			return isErrorType[*kernel.ConnectionLostError](err) && p.Stats().Desks.Crashes == 1
		}},
		{target: "d-0", fault: "straggler", value: 0.005, observed: func(t *testing.T, p clients) bool {
			started := time.Now()
			_, err := p.desk.Call(t.Context(), bookingRequest("b"))
			return err == nil && time.Since(started) >= 200*time.Millisecond
		}},
		{target: "d-0", fault: "leaving", observed: func(t *testing.T, p clients) bool {
			report, err := p.desk.Load(t.Context())
			return err == nil && report.Draining
		}},
		{target: "log", fault: "append_outage", observed: func(t *testing.T, p clients) bool {
			_, appendErr := p.log.Append(t.Context(), "s", nil)
			_, readErr := p.log.Read(t.Context(), "s", 0, 1, 0)
			return isErrorType[*kernel.LogUnavailableError](appendErr) && readErr == nil
		}},
		{target: "vm_list", fault: "outage", observed: func(t *testing.T, p clients) bool {
			_, err := p.vms.VMs(t.Context())
			return isErrorType[*kernel.RejectedError](err)
		}},
		{target: "vm_list", fault: "stale", observed: func(t *testing.T, p clients) bool {
			mustSetFault(t, p.Platform, "engines", "leaving", nil)
			time.Sleep(600 * time.Millisecond)
			rows, err := p.vms.VMs(t.Context())
			assert.NilError(t, err)
			return !slices.ContainsFunc(rows, func(vm kernel.VM) bool { return vm.State == kernel.VMLeaving })
		}},
		{target: "weights", fault: "outage", observed: func(t *testing.T, p clients) bool {
			return isErrorType[*kernel.RejectedError](p.weights.Fetch(t.Context(), "m"))
		}},
		{target: "weights", fault: "rate", value: 1000, observed: func(t *testing.T, p clients) bool {
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
				p := startPlatform(t)
				if on {
					mustSetFault(t, p, c.target, c.fault, c.value)
				}
				assert.Equal(t, c.observed(t, connectAll(t, p)), on)
			})
		}
	}
}

// TestClearCache guards against the fault clear_cache leaving prefixes in the cache.
func TestClearCache(t *testing.T) {
	p := connectAll(t, startPlatform(t))
	assert.NilError(t, p.cachePrefix(t))
	mustSetFault(t, p.Platform, "e-0", "clear_cache", nil)
	_, err := p.engine.ExportKV(t.Context(), 7)
	assert.Assert(t, isErrorType[*kernel.RejectedError](err), "%v", err)
}

func connectAll(t *testing.T, p *Platform) clients {
	return clients{
		Platform: p, engine: engineClient(t, p, 0),
		desk:    connect(t, kernel.Services, "httpservice", p.desks[0].Address()),
		log:     connect(t, kernel.Logs, "httplog", p.log.Address()),
		vms:     connect(t, kernel.VMLists, "httpvmlist", p.vmList.Address()),
		weights: connect(t, kernel.WeightStores, "httpweights", p.weights.Address()),
	}
}
