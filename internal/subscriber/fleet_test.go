package subscriber

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
	"coltsfootplank/internal/protocol"
)

// callTimeout is how long a client of the directory waits for an answer beyond the wait that it asked for.
const callTimeout = 400 * time.Millisecond

// faultyDirectory is a shared directory that counts the reads of one router and refuses them if refusing is set.
type faultyDirectory struct {
	*fakeDirectory
	refusing atomic.Bool
	// silent makes refused reads fail only after their wait and callTimeout.
	silent atomic.Bool
	reads  atomic.Int64
	// alone is set while the router reaches no other router either.
	alone atomic.Bool
}

func (d *faultyDirectory) Changes(ctx context.Context, topic kernel.Topic, from kernel.Position,
	wait time.Duration,
) (kernel.DirectoryPage, error) {
	if err := d.refuse(ctx, wait); err != nil {
		return kernel.DirectoryPage{}, err
	}
	began := time.Now()
	page, err := d.fakeDirectory.Changes(ctx, topic, from, wait)
	if d.silent.Load() {
		sleep(ctx, time.Until(began.Add(wait+callTimeout)))
		return kernel.DirectoryPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: downError{}}
	}
	return page, err
}

func (d *faultyDirectory) Newest(ctx context.Context, topic kernel.Topic) (kernel.DirectoryPage, error) {
	if err := d.refuse(ctx, 0); err != nil {
		return kernel.DirectoryPage{}, err
	}
	return d.fakeDirectory.Newest(ctx, topic)
}

// refuse returns an error if the directory doesn't answer this router.
func (d *faultyDirectory) refuse(ctx context.Context, wait time.Duration) error {
	d.reads.Add(1)
	if !d.refusing.Load() {
		return nil
	}
	if d.silent.Load() {
		sleep(ctx, wait+callTimeout)
	}
	return &kernel.LogUnavailableError{Operation: "read", Cause: downError{}}
}

// fleet is the routers of one data centre. The first candidates of them may read the directory for the others.
type fleet struct {
	shared      *fakeDirectory
	directories []*faultyDirectory
	// mu guards the changes of routers while they run.
	mu         sync.Mutex
	routers    []*Subscriber
	candidates []string
	// alive makes all upstreams answer that they take requests.
	alive atomic.Bool
	group errgroup.Group
	stops []context.CancelFunc
}

// runWithFleet runs a test with started routers on virtual time. The directory has a configuration and the given upstreams.
func runWithFleet(t *testing.T, candidates, followers int, upstreams []string, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{shared: newFakeDirectory(), candidates: []string{"first", "second", "third"}[:candidates]}
		f.shared.put(kernel.TopicPublication, "config", newPublication(1))
		for _, name := range upstreams {
			f.shared.put(kernel.TopicUpstreams, name, newRegistration(name))
		}
		for range candidates + followers {
			f.directories = append(f.directories, &faultyDirectory{fakeDirectory: f.shared})
			f.routers, f.stops = append(f.routers, nil), append(f.stops, nil)
		}
		for i := range f.routers {
			f.routers[i] = f.newRouter(i)
		}
		for i := range f.routers {
			f.start(t, i)
		}
		time.Sleep(5 * time.Second)
		test(t, f)
		for _, stop := range f.stops {
			stop()
		}
		assert.ErrorIs(t, f.group.Wait(), context.Canceled)
	})
}

func (f *fleet) newRouter(i int) *Subscriber {
	defaults := loader.Defaults().Gateway
	rank := min(i, len(f.candidates))
	return New(Options{
		Directory: f.directories[i], FetchSnapshot: func(_ context.Context, wanted Wanted) ([]byte, error) { return f.snapshotFor(i, wanted), nil },
		PeerVersion: func() uint64 { return f.peerVersion(i) },
		Readers: func() Readers {
			return Readers{Addresses: f.candidates[:rank], Candidate: rank < len(f.candidates)}
		},
		Watch: func(ctx context.Context, address string, request *protocol.WatchRequest,
			receive func(*protocol.WatchUpdate) bool,
		) error {
			reader := f.peers()[slices.Index(f.candidates, address)]
			return reader.Serve(ctx, request, func(update *protocol.WatchUpdate) error {
				if f.directories[i].alone.Load() || !receive(update) {
					return streamCutError{}
				}
				return nil
			})
		},
		WatchWait: defaults.WatchWait, PollInterval: defaults.PollInterval, LapseGrace: defaults.LapseGrace, Heartbeat: defaults.Heartbeat, Logger: zap.NewNop(), Prober: f,
	})
}

// Probe implements kernel.UpstreamProber.
func (f *fleet) Probe(context.Context, kernel.Registration, string) (bool, error) {
	return f.alive.Load(), nil
}

// snapshotFor returns the snapshot of a router for router i, nil if none has what is wanted.
func (f *fleet) snapshotFor(i int, wanted Wanted) (data []byte) {
	peers := f.peers()
	version, position := peers[i].Version()
	for j, peer := range peers {
		peerVersion, peerPosition := peer.Version()
		newer := peerVersion > version || wanted == WantedNewer && peerVersion == version && peerPosition > position
		if i != j && f.connected(i, j) && (newer || wanted == WantedAny) {
			data, version, position = peer.Snapshot()
		}
	}
	return data
}

func (f *fleet) peerVersion(i int) (newest uint64) {
	for j, peer := range f.peers() {
		if version, _ := peer.Version(); f.connected(i, j) {
			newest = max(newest, version)
		}
	}
	return newest
}

func (f *fleet) connected(i, j int) bool {
	return !f.directories[i].alone.Load() && !f.directories[j].alone.Load()
}

func (f *fleet) start(t *testing.T, i int) {
	ctx, stop := context.WithCancel(t.Context())
	f.stops[i] = stop
	router := f.routers[i]
	f.group.Go(func() error { return router.Run(ctx) })
}

// restart replaces a router by a new process.
func (f *fleet) restart(t *testing.T, i int) {
	f.stops[i]()
	f.mu.Lock()
	f.routers[i] = f.newRouter(i)
	f.mu.Unlock()
	f.start(t, i)
}

// peers returns the present routers.
func (f *fleet) peers() []*Subscriber {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routers)
}

// setAlone sets whether a router is cut off from the directory and from all other routers.
func (f *fleet) setAlone(alone bool, router int) {
	f.directories[router].refusing.Store(alone)
	f.directories[router].alone.Store(alone)
}

// setRefusing sets whether the directory refuses the reads of the given routers.
func (f *fleet) setRefusing(refusing bool, routers []int) {
	for _, i := range routers {
		f.directories[i].refusing.Store(refusing)
	}
}
