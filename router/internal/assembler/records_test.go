package assembler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
	"coltsfootplank/internal/logger"
	"coltsfootplank/internal/subscriber"
)

// recordStore keeps the newest record of each router.
type recordStore struct {
	kernel.DirectoryProtocol
	mu      sync.Mutex
	records map[string][]byte
	writes  int
}

func (s *recordStore) Announce(_ context.Context, router string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[router] = data
	s.writes++
	return nil
}

func (s *recordStore) RolloutRecord(kernel.DirectoryRecord) (*kernel.RolloutRecord, error) {
	return nil, nil
}

func (s *recordStore) Newest(context.Context, kernel.Topic) (kernel.DirectoryPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var page kernel.DirectoryPage
	for key, value := range s.records {
		page.Records = append(page.Records, kernel.DirectoryRecord{Key: key, Value: value})
	}
	return page, nil
}

// lose drops all records and returns their number and that of the writes so far.
func (s *recordStore) lose() (records, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records = len(s.records)
	clear(s.records)
	return records, s.writes
}

// TestRecordsAfterRestoration guards against routers that new routers don't find, because the directory was restored from a copy
// that lacks their records.
func TestRecordsAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 5
		store := &recordStore{records: make(map[string][]byte)}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		var gateways []*gatewayMode
		for i := range routers {
			g := newRecordsGateway(fmt.Sprint(i), store)
			gateways = append(gateways, g)
			group.Go(func() error { return g.announce(ctx) })
		}
		for era := range 4 {
			for _, g := range gateways {
				// The first era is the one that the routers find.
				assert.NilError(t, g.subscriber.ApplySnapshot(fmt.Appendf(nil, `{"next":%d}`, kernel.PositionOf(int64(7+era), 1))))
			}
			time.Sleep(announceSpread)
			records, writes := store.lose()
			assert.Equal(t, records, routers, "era %d", era)
			assert.Equal(t, writes, routers*(1+era))
		}
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

// newRecordsGateway returns a gateway that only writes its record.
func newRecordsGateway(name string, store *recordStore) *gatewayMode {
	settings := &loader.Settings{Name: name}
	settings.Peers.Advertise = "10.0.0.2:1"
	return &gatewayMode{
		Router: &Router{settings: settings, logger: &logger.Logger{Logger: zap.NewNop()}}, directory: store,
		subscriber: subscriber.New(subscriber.Options{Directory: store, Logger: zap.NewNop()}),
	}
}

// TestRecords guards against records of routers that ended without a planned stop being listed for ever. Once there are
// as many of them as routers, routers that start together never know half of the listed members and grant only a small
// part of the allowances. It also guards against an odd record of another writer that hides those of all routers.
func TestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{records: map[string][]byte{
			"foreign": []byte("not a record"), "future": []byte(`{"address":"10.0.0.1:1","announced_s":9223372036854775807}`),
			"past": []byte(`{"address":"10.0.0.1:1","announced_s":-9223372036854775808}`), "port": []byte(`{"address":"10.0.0.1:70000"}`),
		}}
		newGateway := func(name string) *gatewayMode { return newRecordsGateway(name, store) }
		list := routerList{directory: store, observe: func(kernel.DirectoryPage) {}, logger: zap.NewNop()}
		count := func() int {
			vms, err := list.VMs(t.Context())
			assert.NilError(t, err)
			return len(vms)
		}
		for _, name := range []string{"ended", "stopped"} {
			assert.NilError(t, newGateway(name).writeRecord(t.Context()))
		}
		newGateway("stopped").Deregister(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		live := newGateway("lives")
		time.AfterFunc(0, func() { ended <- live.announce(ctx) })
		time.Sleep(announceSpread)
		assert.Equal(t, count(), 2)
		time.Sleep(recordLifetime + 2*announceInterval)
		assert.Equal(t, count(), 1)
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.Assert(t, store.writes <= 3+1+int((recordLifetime+2*announceInterval)/(announceInterval/2)), "%d writes", store.writes)
	})
}
