package assembler

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/runner"
	"coltsfootplank/internal/scheduler"
)

// idleEngine is an engine whose load reports say that it is idle.
type idleEngine struct{ kernel.EngineProtocol }

func (idleEngine) Load(context.Context) (kernel.LoadReport, error) {
	return kernel.LoadReport{Instance: "i", BatchSlots: 4}, nil
}

func (idleEngine) CacheEvents(context.Context, uint64) (kernel.CacheEvents, error) {
	return kernel.CacheEvents{}, nil
}

func init() {
	kernel.Engines.Register("assembler_test", func(string) (kernel.EngineProtocol, func(), error) {
		return idleEngine{}, func() {}, nil
	})
}

type fakeCatalogue struct{ catalogue *cataloguer.Catalogue }

func (f fakeCatalogue) Current() *cataloguer.Catalogue                   { return f.catalogue }
func (f fakeCatalogue) Subscribe(func(*cataloguer.Catalogue)) (u func()) { return func() {} }

// TestSchedulerDefaults guards against default settings of the router that name unknown plug-ins, or that differ from
// the scheduler's own defaults, with which its measurements are made.
func TestSchedulerDefaults(t *testing.T) {
	settings := schedulerSettings(loader.Defaults().Scheduling, cataloguer.Pool{})
	assert.NilError(t, settings.Check())
	assert.DeepEqual(t, settings, scheduler.DefaultSettings())
}

// TestReturnedGrant guards against a scheduler that repeats a grant again and again after its holder returned it. A
// holder whose request still waits sends the ticket again itself.
func TestReturnedGrant(t *testing.T) {
	cases := []struct {
		name     string
		kind     protocol.ReleaseKind
		resubmit bool
		grants   int
	}{
		{"unused", protocol.ReleaseKind_RELEASE_KIND_UNUSED, false, 1},
		{"unreachable", protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, false, 1},
		{"unused and sent again", protocol.ReleaseKind_RELEASE_KIND_UNUSED, true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := detector.New(detector.Settings{Name: "r", Address: "127.0.0.1:1"}, nil)
				members.Ready()
				catalogue := (&cataloguer.Catalogue{Revision: 1, Pools: []cataloguer.Pool{{
					Name: "p", Protocol: "assembler_test",
					Upstreams: []cataloguer.Upstream{{Name: "e", Address: "127.0.0.1:2", Slots: 2}},
				}}}).Index()
				host := runner.New(runner.Options{
					Self: "r", Members: members, Catalogue: fakeCatalogue{catalogue},
					Factory: schedulerFactory(loader.Defaults().Scheduling, zap.NewNop()),
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return host.Run(ctx) })
				time.Sleep(2 * time.Second)

				outbox := messenger.NewSchedulerOutbox()
				session := host.Accept(&protocol.Hello{Router: "r", Incarnation: 1}, outbox)
				ticket := &protocol.Ticket{RequestId: "id", Pool: "p", Workspace: "w", PromptTokens: 9, OutputTokens: 9, Attempt: 1}
				session.Receive(&protocol.HolderMessage{Tickets: []*protocol.Ticket{ticket}})
				grants := takeGrants(t, outbox)
				assert.Equal(t, len(grants), 1)
				session.Receive(&protocol.HolderMessage{Releases: []*protocol.Release{{
					RequestId: "id", Engine: "e", Kind: c.kind, Pool: "p", Attempt: 1,
				}}})
				if c.resubmit {
					resent := &protocol.Ticket{RequestId: "id", Pool: "p", Workspace: "w", PromptTokens: 9, OutputTokens: 9, Attempt: 2, AgeMs: 100}
					session.Receive(&protocol.HolderMessage{Tickets: []*protocol.Ticket{resent}})
				}
				grants = append(grants, takeGrants(t, outbox)...)
				assert.Equal(t, len(grants), c.grants)
				state := dumpCell(t, host)
				assert.Equal(t, state.Counters.Grants, c.grants)
				assert.Equal(t, len(state.Queue), 0)
				cancel()
				assert.ErrorIs(t, group.Wait(), context.Canceled)
			})
		})
	}
}

// schedulerState is the part of a scheduler's dump that the test looks at.
type schedulerState struct {
	Queue    []any                `json:"queue"`
	Counters struct{ Grants int } `json:"counters"`
}

// dumpCell returns the state of the scheduler of the only cell.
func dumpCell(t *testing.T, host *runner.Runner) schedulerState {
	t.Helper()
	text, err := json.Marshal(host.Dump())
	assert.NilError(t, err)
	var cells map[string]struct {
		Scheduler schedulerState `json:"scheduler"`
	}
	assert.NilError(t, json.Unmarshal(text, &cells))
	return cells["p/0"].Scheduler
}

// takeGrants waits some time and returns the grants of the next message, if there is one.
func takeGrants(t *testing.T, outbox *messenger.Outbox[protocol.SchedulerMessage]) []*protocol.Grant {
	t.Helper()
	time.Sleep(2 * time.Second)
	select {
	case <-outbox.Ready():
	default:
		return nil
	}
	message, err := outbox.Take()
	assert.NilError(t, err)
	return message.GetGrants()
}
