package cataloguer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

// startTestCataloguer runs a cataloguer until the test ends and waits until it has read the log to the end.
func startTestCataloguer(t *testing.T, log kernel.LogProtocol, options Options) *Cataloguer {
	t.Helper()
	c := New(log, options, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.Assert(t, errors.Is(group.Wait(), context.Canceled))
	})
	synctest.Wait()
	return c
}

func workspaceYAML(name string, weight int) []byte {
	return fmt.Appendf(nil, "workspaces: [{name: %s, weight: %d, key_hashes: []}]\n", name, weight)
}

// TestApplyFaults guards against an edit that is reported as accepted, rejected or without effect although it is not.
func TestApplyFaults(t *testing.T) {
	always := func(appendOutcome fakes.AppendOutcome) func(*fakes.Log) {
		return func(l *fakes.Log) {
			l.SetAppendOutcome(func(string, []byte) fakes.AppendOutcome { return appendOutcome })
		}
	}
	next := func(appendOutcome fakes.AppendOutcome) func(*fakes.Log) {
		return func(l *fakes.Log) { l.SetNextAppendOutcome(appendOutcome) }
	}
	cases := []struct {
		name     string
		fault    func(*fakes.Log)
		want     string
		revision uint64
	}{
		{name: "no fault", fault: func(*fakes.Log) {}, revision: 1},
		{name: "acknowledgement lost, record stored", fault: next(fakes.AppendStoredUnacked), revision: 1},
		{name: "acknowledgement lost, record dropped", fault: next(fakes.AppendDroppedUnacked), revision: 1},
		{name: "rate limited once", fault: next(fakes.AppendRateLimited), revision: 1},
		{name: "all acknowledgements lost, records stored", fault: always(fakes.AppendStoredUnacked), revision: 1},
		{name: "all records dropped", fault: always(fakes.AppendDroppedUnacked), want: "*cataloguer.OutcomeUnknownError"},
		{name: "always rate limited", fault: always(fakes.AppendRateLimited), want: "*kernel.LogUnavailableError"},
		{name: "outage", fault: func(l *fakes.Log) { l.SetOutage(true) }, want: "*kernel.LogUnavailableError"},
		{name: "reads unavailable", fault: func(l *fakes.Log) { l.SetReadOutage(true) }, want: "*kernel.LogUnavailableError"},
		{name: "slow", fault: func(l *fakes.Log) { l.SetDelay(2 * time.Second) }, revision: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := fakes.NewLog()
				cataloguer := startTestCataloguer(t, log, Options{})
				c.fault(log)
				synctest.Wait() // the follower has noticed that reads are unavailable
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				revision, _, err := cataloguer.Apply(ctx, 0, "ana", workspaceYAML("a", 1))
				if c.want != "" {
					assert.Equal(t, fmt.Sprintf("%T", err), c.want, "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, revision, c.revision)
				assert.Equal(t, cataloguer.Current().Revision, c.revision)
				other := startTestCataloguer(t, log, Options{})
				time.Sleep(10 * time.Second)
				assert.Equal(t, other.Current().Revision, c.revision)
			})
		})
	}
}

// TestApplyLate guards against an edit that is reported as without effect although its record is stored later, and
// against a second edit that is accepted on the same base.
func TestApplyLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		cataloguer := startTestCataloguer(t, log, Options{})
		log.SetAppendOutcome(func(string, []byte) fakes.AppendOutcome { return fakes.AppendDelayedUnacked })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := cataloguer.Apply(ctx, 0, "ana", workspaceYAML("a", 1))
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		log.SetAppendOutcome(nil)
		log.StoreDelayed()
		synctest.Wait()
		assert.Equal(t, cataloguer.Current().Revision, uint64(1))
		assert.Equal(t, cataloguer.History(1)[0].Nonce, unknown.Nonce)
		_, _, err = cataloguer.Apply(t.Context(), 0, "rui", workspaceYAML("b", 1))
		var conflict *ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Current, uint64(1))
	})
}

// TestApplyRace guards against two concurrent edits with the same base that are both reported as accepted.
func TestApplyRace(t *testing.T) {
	appendOutcomes := []fakes.AppendOutcome{fakes.AppendStoredUnacked, fakes.AppendDroppedUnacked, fakes.AppendAcked, fakes.AppendRateLimited}
	for seed := range len(appendOutcomes) {
		synctest.Test(t, func(t *testing.T) {
			log := fakes.NewLog()
			log.SetDelay(10 * time.Millisecond)
			call := seed
			log.SetAppendOutcome(func(string, []byte) fakes.AppendOutcome { call++; return appendOutcomes[call%len(appendOutcomes)] })
			cataloguers := []*Cataloguer{startTestCataloguer(t, log, Options{}), startTestCataloguer(t, log, Options{}), startTestCataloguer(t, log, Options{})}
			time.Sleep(time.Second)
			for round := range uint64(5) {
				errs := make([]error, len(cataloguers))
				var group errgroup.Group
				for i, cataloguer := range cataloguers {
					group.Go(func() error {
						_, _, errs[i] = cataloguer.Apply(t.Context(), round, "editor", workspaceYAML(fmt.Sprintf("w%d", i), int(round)+1))
						return nil
					})
				}
				assert.NilError(t, group.Wait())
				accepted := 0
				for _, err := range errs {
					var conflict *ConflictError
					if err == nil {
						accepted++
					} else {
						assert.Assert(t, errors.As(err, &conflict), "%v", err)
					}
				}
				assert.Equal(t, accepted, 1, "%v", errs)
				time.Sleep(time.Second)
			}
			for _, cataloguer := range cataloguers {
				assert.Equal(t, cataloguer.Current().Revision, uint64(5))
				assert.DeepEqual(t, cataloguer.Current().Workspaces, cataloguers[0].Current().Workspaces)
			}
		})
	}
}

// TestRefreshSnapshot guards against a catalogue that a new router can't restore after retention has removed the edits,
// and against appending more snapshots than necessary.
func TestRefreshSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		cataloguer := startTestCataloguer(t, log, Options{Retention: time.Hour})
		for i := range uint64(3) {
			_, _, err := cataloguer.Apply(t.Context(), i, "ana", workspaceYAML("a", int(i)+1))
			assert.NilError(t, err)
		}
		assert.NilError(t, cataloguer.RefreshSnapshot(t.Context()))
		assert.Equal(t, len(log.Records(Stream)), 3)
		time.Sleep(31 * time.Minute)
		assert.NilError(t, cataloguer.RefreshSnapshot(t.Context()))
		assert.NilError(t, cataloguer.RefreshSnapshot(t.Context()))
		assert.Equal(t, len(log.Records(Stream)), 4)
		log.Trim(Stream, 3)
		other := startTestCataloguer(t, log, Options{Retention: time.Hour})
		assert.Assert(t, other.Complete())
		assert.Equal(t, other.Current().Revision, uint64(3))
		assert.NilError(t, other.RefreshSnapshot(t.Context()))
		assert.Equal(t, len(log.Records(Stream)), 1)
		_, _, err := other.Apply(t.Context(), 3, "ana", workspaceYAML("a", 9))
		assert.NilError(t, err)
	})
}

// TestSnapshotFromPeer guards against a router that has no catalogue while the log is unavailable or records were
// removed by retention, and against edits that are accepted while lost records are missing from the catalogue.
func TestSnapshotFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		peer := startTestCataloguer(t, log, Options{})
		_, _, err := peer.Apply(t.Context(), 0, "ana", workspaceYAML("a", 1))
		assert.NilError(t, err)
		log.Trim(Stream, 1)
		var reachable atomic.Bool
		cataloguer := startTestCataloguer(t, log, Options{FetchSnapshot: func(context.Context) ([]byte, uint64, int64, error) {
			if !reachable.Load() {
				return nil, 0, 0, &kernel.NotSentError{}
			}
			data, revision, offset := peer.Snapshot()
			return data, revision, offset, nil
		}})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, cataloguer.Current().Revision, uint64(0))
		_, _, err = cataloguer.Apply(t.Context(), 0, "rui", workspaceYAML("b", 1))
		var unavailable *kernel.LogUnavailableError
		assert.Assert(t, errors.As(err, &unavailable), "%v", err)
		reachable.Store(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cataloguer.Current().Revision, uint64(1))
		assert.Assert(t, cataloguer.Complete())
		data, revision, offset := peer.Snapshot()
		adopted, err := cataloguer.Adopt(data, revision, offset)
		assert.NilError(t, err)
		assert.Assert(t, !adopted)
	})
}
