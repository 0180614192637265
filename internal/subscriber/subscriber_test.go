package subscriber

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
)

// fakeDirectory is an in-memory directory. Its records are JSON of the kernel's types.
type fakeDirectory struct {
	kernel.RolloutProtocol
	mu   sync.Mutex
	down bool
	// noWakeups makes a waiting read return only at the end of its wait, even if there are new records.
	noWakeups bool
	first     [2]int64
	records   [2][]kernel.DirectoryRecord
	// era counts the restorations from a copy.
	era     int64
	changed chan struct{}
	calls   int
	// newestCalls counts the calls of Newest.
	newestCalls int
}

func newFakeDirectory() *fakeDirectory { return &fakeDirectory{changed: make(chan struct{})} }

type downError struct{}

func (downError) Error() string { return "down" }

func (d *fakeDirectory) put(topic kernel.Topic, key string, value any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := kernel.DirectoryRecord{Position: kernel.PositionOf(d.era, d.first[topic]+int64(len(d.records[topic]))), Key: key}
	if value != nil {
		record.Value, _ = json.Marshal(value)
	}
	d.records[topic] = append(d.records[topic], record)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDirectory) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

func (d *fakeDirectory) setNoWakeups(noWakeups bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noWakeups = noWakeups
}

func (d *fakeDirectory) hasNoWakeups() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.noWakeups
}

// trimHistory drops all records of a topic.
func (d *fakeDirectory) trimHistory(topic kernel.Topic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first[topic] += int64(len(d.records[topic]))
	d.records[topic] = nil
}

// copy returns a copy of the topics for restore.
func (d *fakeDirectory) copy() (records [2][]kernel.DirectoryRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for topic := range d.records {
		records[topic] = slices.Clone(d.records[topic])
	}
	return records
}

// restore replaces the topics by a copy and begins a new era. What was appended since is lost.
func (d *fakeDirectory) restore(records [2][]kernel.DirectoryRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for topic := range records {
		d.records[topic] = slices.Clone(records[topic])
	}
	d.era++
	for _, topic := range d.records {
		for i := range topic {
			topic[i].Position = kernel.PositionOf(d.era, topic[i].Position.Offset())
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDirectory) Changes(ctx context.Context, topic kernel.Topic, from kernel.Position,
	wait time.Duration,
) (kernel.DirectoryPage, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		d.mu.Lock()
		d.calls++
		changed, down, era, first, next := d.changed, d.down, d.era, d.first[topic], d.first[topic]+int64(len(d.records[topic]))
		page := kernel.DirectoryPage{Next: from}
		if from.Offset() >= first && from.Offset() <= next {
			page.Records = append(page.Records, d.records[topic][from.Offset()-first:]...)
			page.Next += kernel.Position(len(page.Records))
		}
		d.mu.Unlock()
		switch {
		case down:
			return page, &kernel.LogUnavailableError{Operation: "read", Cause: downError{}}
		case era != from.Era():
			return page, &kernel.RestoredError{Stream: topic.String(), From: from, Era: era}
		case from.Offset() < first || from.Offset() > next:
			return page, &kernel.TrimmedError{Stream: topic.String(), First: first}
		case len(page.Records) > 0 || wait == 0:
			return page, nil
		}
		if d.hasNoWakeups() {
			changed = nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (d *fakeDirectory) Newest(_ context.Context, topic kernel.Topic) (kernel.DirectoryPage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newestCalls++
	page := kernel.DirectoryPage{Next: kernel.PositionOf(d.era, d.first[topic]+int64(len(d.records[topic])))}
	if d.down {
		return page, &kernel.LogUnavailableError{Operation: "list", Cause: downError{}}
	}
	newest := make(map[string]kernel.DirectoryRecord)
	for _, record := range d.records[topic] {
		newest[record.Key] = record
	}
	for _, record := range newest {
		if record.Value != nil {
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

func (d *fakeDirectory) Era() int64 { return 0 }

func (d *fakeDirectory) Write(context.Context, []kernel.DirectoryRecord) (int64, error) {
	return 0, nil
}

func (d *fakeDirectory) Announce(context.Context, string, []byte) error { return nil }

func (d *fakeDirectory) Publication(record kernel.DirectoryRecord) (*kernel.Publication, error) {
	publication := &kernel.Publication{}
	if err := json.Unmarshal(record.Value, publication); err != nil {
		return nil, &kernel.MalformedRecordError{Key: record.Key, Cause: err}
	}
	return publication, nil
}

func (d *fakeDirectory) Registration(record kernel.DirectoryRecord) (kernel.Registration, error) {
	registration := kernel.Registration{}
	if err := json.Unmarshal(record.Value, &registration); err != nil {
		return registration, &kernel.MalformedRecordError{Key: record.Key, Cause: err}
	}
	return registration, nil
}

func newPublication(version int64) kernel.Publication {
	return kernel.Publication{Version: version, Services: []kernel.PublishedService{{Name: "s"}}}
}

func newRegistration(name string) kernel.Registration {
	return kernel.Registration{Name: name, Service: "s", Address: "127.0.0.1:1", Slots: 1}
}

// upstreamNames returns the names of the upstreams that accept new work.
func upstreamNames(s *Subscriber) []string {
	list := []string{}
	for _, pool := range s.Current().Pools {
		for _, upstream := range pool.Upstreams {
			list = append(list, upstream.Name)
		}
	}
	return list
}

// runWithSubscriber runs a test with a subscriber that reads a fake directory on virtual time. peer returns the
// snapshot of a peer.
func runWithSubscriber(t *testing.T, peer func() []byte, test func(t *testing.T, directory *fakeDirectory, s *Subscriber)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		directory, defaults := newFakeDirectory(), loader.Defaults().Gateway
		s := New(Options{
			Directory: directory, FetchSnapshot: func(context.Context, Wanted) ([]byte, error) { return peer(), nil }, PeerVersion: noVersion,
			Readers: func() Readers { return Readers{} }, WatchWait: defaults.WatchWait, PollInterval: defaults.PollInterval,
			LapseGrace: defaults.LapseGrace, Heartbeat: defaults.Heartbeat, Logger: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return s.Run(ctx) })
		// After its start, a subscriber waits for a router that it can follow.
		time.Sleep(2 * readerWait)
		test(t, directory, s)
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

func noSnapshot() []byte { return nil }

func noVersion() uint64 { return 0 }

// TestPublications guards against a configuration that takes effect late, is replaced by an older one, or exists before
// the first publication.
func TestPublications(t *testing.T) {
	runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
		time.Sleep(time.Second)
		assert.Assert(t, s.RoutingConfig() == nil)
		for _, step := range []struct {
			put, want int64
		}{{7, 7}, {9, 9}, {8, 9}, {12, 12}} {
			directory.put(kernel.TopicPublication, "config", newPublication(step.put))
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, s.RoutingConfig().Version, step.want)
		}
		directory.trimHistory(kernel.TopicPublication)
		directory.put(kernel.TopicPublication, "config", newPublication(13))
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, s.RoutingConfig().Version, int64(13))
	})
}

// TestWatchWithoutWakeups guards against a configuration that takes effect late because the directory doesn't wake a
// waiting read. It must take effect within 2 s of its publication.
func TestWatchWithoutWakeups(t *testing.T) {
	runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
		directory.put(kernel.TopicPublication, "config", newPublication(1))
		time.Sleep(5 * time.Second)
		directory.setNoWakeups(true)
		for number := range int64(12) {
			time.Sleep(time.Duration(number) * 170 * time.Millisecond)
			directory.put(kernel.TopicPublication, "config", newPublication(2+number))
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, s.RoutingConfig().Version, 2+number)
		}
	})
}

// TestRegistrations guards against the use of leaving upstreams, and against a malformed registration that affects
// others.
func TestRegistrations(t *testing.T) {
	leaving := newRegistration("a")
	leaving.Leaving = true
	steps := []struct {
		name     string
		key      string
		value    any
		want     []string
		departed bool
	}{
		{"first", "a", newRegistration("a"), []string{"a"}, false},
		{"second", "b", newRegistration("b"), []string{"a", "b"}, false},
		{"leaving", "a", leaving, []string{"b"}, true},
		{"dropped", "a", nil, []string{"b"}, true},
		{"unreadable", "b", "text", []string{}, true},
		{"again", "b", newRegistration("b"), []string{"b"}, false},
	}
	runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
		directory.put(kernel.TopicPublication, "config", newPublication(1))
		for _, step := range steps {
			directory.put(kernel.TopicUpstreams, step.key, step.value)
			time.Sleep(time.Second)
			assert.DeepEqual(t, upstreamNames(s), step.want)
			assert.Equal(t, s.Departed(step.key, 0), step.departed, step.name)
		}
	})
}

// TestColdRegistration guards against a new catalogue at each heartbeat of a cold upstream, and against a cold time that ends
// too soon because a later record states what is left of it.
func TestColdRegistration(t *testing.T) {
	steps := []struct {
		name        string
		incarnation int64
		cold, want  time.Duration
		changed     bool
	}{
		{"started", 1, 20 * time.Second, 20 * time.Second, true},
		{"heartbeat", 1, 18 * time.Second, 20 * time.Second, false},
		{"warm", 1, 0, 20 * time.Second, false},
		{"next process", 2, 2 * time.Second, 2 * time.Second, true},
	}
	table := newTable()
	for i, step := range steps {
		record := kernel.DirectoryRecord{Position: kernel.Position(i), Key: "a", Value: []byte(step.name)}
		changed, err := table.apply(record, func(kernel.DirectoryRecord) (kernel.Registration, error) {
			return kernel.Registration{Name: "a", Incarnation: step.incarnation, ColdRemaining: step.cold}, nil
		}, arrival{})
		assert.NilError(t, err)
		assert.Equal(t, changed, step.changed, step.name)
		list, _ := table.upstreams(time.Now())
		assert.Equal(t, list[0].ColdRemaining, step.want, step.name)
	}
}

// TestLapseDuringOutage guards against pools that are emptied by an outage of the directory. All registrations lapse
// during the outage, and running upstreams register again within about 2 s after it.
func TestLapseDuringOutage(t *testing.T) {
	runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
		directory.put(kernel.TopicPublication, "config", newPublication(1))
		directory.put(kernel.TopicUpstreams, "a", newRegistration("a"))
		directory.put(kernel.TopicUpstreams, "b", newRegistration("b"))
		time.Sleep(2 * time.Second)
		directory.setDown(true)
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, upstreamNames(s), []string{"a", "b"})
		directory.put(kernel.TopicUpstreams, "a", nil)
		directory.put(kernel.TopicUpstreams, "b", nil)
		directory.setDown(false)
		time.Sleep(1900 * time.Millisecond)
		assert.DeepEqual(t, upstreamNames(s), []string{"a", "b"})
		directory.put(kernel.TopicUpstreams, "a", newRegistration("a"))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, upstreamNames(s), []string{"a"})
		assert.Assert(t, s.Departed("b", 0))
		directory.put(kernel.TopicUpstreams, "a", nil)
		time.Sleep(time.Second)
		assert.DeepEqual(t, upstreamNames(s), []string{})
	})
}

// TestFirstConfigAfterOutage guards against routers that start in an outage of the directory and refuse all requests long
// after its end.
func TestFirstConfigAfterOutage(t *testing.T) {
	runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
		assert.Assert(t, !s.DirectoryFailing())
		directory.setDown(true)
		directory.put(kernel.TopicPublication, "config", newPublication(1))
		time.Sleep(8 * time.Second)
		assert.Assert(t, s.DirectoryFailing())
		assert.Assert(t, s.RoutingConfig() == nil)
		directory.setDown(false)
		time.Sleep(firstBackoffMax)
		assert.Assert(t, s.RoutingConfig() != nil)
		assert.Assert(t, !s.DirectoryFailing())
	})
}

// TestReadyBeforeCatalogue guards against requests that are let through as soon as the first configuration is known, and
// refused because the catalogue made of it isn't in force yet.
func TestReadyBeforeCatalogue(t *testing.T) {
	for _, publicationFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := New(Options{Directory: newFakeDirectory(), Logger: zap.NewNop()})
			readyTooSoon := false
			defer s.Subscribe(func(*cataloguer.Catalogue) {
				select {
				case <-s.ready:
					readyTooSoon = true
				default:
				}
			})()
			registration, _ := json.Marshal(newRegistration("a"))
			publication, _ := json.Marshal(newPublication(1))
			steps := []func(){
				func() {
					s.applyUpstreams(kernel.DirectoryPage{Records: []kernel.DirectoryRecord{{Key: "a", Value: registration}}, Next: 1}, true)
				},
				func() { s.publish(kernel.DirectoryRecord{Key: "config", Value: publication}, sourceDirectory) },
			}
			if publicationFirst {
				steps[0], steps[1] = steps[1], steps[0]
			}
			for _, step := range steps {
				step()
			}
			assert.Assert(t, s.AwaitRoutingConfig(t.Context(), 0) != nil)
			assert.Assert(t, !readyTooSoon)
			assert.DeepEqual(t, upstreamNames(s), []string{"a"})
		})
	}
}

// TestRecordsDropped guards against the use of upstreams that are gone but whose removal is no longer in the
// directory's history.
func TestRecordsDropped(t *testing.T) {
	runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
		directory.put(kernel.TopicPublication, "config", newPublication(1))
		directory.put(kernel.TopicUpstreams, "a", newRegistration("a"))
		time.Sleep(time.Second)
		assert.DeepEqual(t, upstreamNames(s), []string{"a"})
		directory.put(kernel.TopicUpstreams, "a", nil)
		directory.trimHistory(kernel.TopicUpstreams)
		directory.put(kernel.TopicUpstreams, "b", newRegistration("b"))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, upstreamNames(s), []string{"b"})
	})
}

// TestPeerSnapshots guards against a router that can't read the directory and stays without a configuration, or
// replaces it by an older one from a peer.
func TestPeerSnapshots(t *testing.T) {
	record := func(offset kernel.Position, key string, value any) kernel.DirectoryRecord {
		data, _ := json.Marshal(value)
		return kernel.DirectoryRecord{Position: offset, Key: key, Value: data}
	}
	var current atomic.Pointer[[]byte]
	setSnapshot := func(publication kernel.DirectoryRecord, upstreams ...kernel.DirectoryRecord) {
		data, _ := json.Marshal(snapshot{Publication: publication, Upstreams: upstreams})
		current.Store(&data)
	}
	setSnapshot(record(3, "config", newPublication(5)), record(8, "a", newRegistration("a")))
	peer := func() []byte { return *current.Load() }
	runWithSubscriber(t, peer, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
		directory.setDown(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.RoutingConfig().Version, int64(5))
		assert.DeepEqual(t, upstreamNames(s), []string{"a"})
		setSnapshot(record(2, "config", newPublication(4)), record(7, "a", nil), record(9, "b", newRegistration("b")))
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.RoutingConfig().Version, int64(5))
		assert.DeepEqual(t, upstreamNames(s), []string{"a", "b"})
	})
}

// TestRoute guards against a shorter prefix that takes precedence over a longer one, and against matches of a prefix in
// the middle of the path.
func TestRoute(t *testing.T) {
	config := NewRoutingConfig(&kernel.Publication{Routes: []kernel.Route{
		{Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "g.example", Prefix: "/"},
	}})
	cases := []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"}, {"h.example", "/a/b/x", "long"}, {"h.example", "/a/b", "short"},
		{"H.example:80", "/a/b/", "long"}, {"h.example", "/a", ""}, {"h.example", "/b/a/", ""}, {"g.example", "/a/b/x", "other"},
		{"i.example", "/a/", ""},
	}
	for _, c := range cases {
		route, ok := config.Route(c.host, c.path)
		assert.Equal(t, ok, c.want != "", c.path)
		if ok {
			assert.Equal(t, route.Name, c.want, c.path)
		}
	}
}

// TestTier guards against routes of one workspace that all get the same tier, and against ignoring the tier of the
// workspace.
func TestTier(t *testing.T) {
	routes := []kernel.Route{{Name: "urgent", Tier: 0}, {Name: "usual", Tier: 1}, {Name: "late", Tier: 2}}
	type workspaces []kernel.PublishedWorkspace
	cases := []struct {
		name       string
		workspaces workspaces
		// want holds the tiers of each workspace's requests, by route.
		want [][]int
	}{
		{"no workspaces", nil, [][]int{{0, 1, 2}}},
		{"alike", workspaces{{Name: "a", Tier: 1}, {Name: "b", Tier: 1}}, [][]int{{0, 1, 2}, {0, 1, 2}}},
		{"one before the other", workspaces{{Name: "a", Tier: 0}, {Name: "b", Tier: 1}}, [][]int{{0, 1, 2}, {3, 4, 5}}},
		{"more priorities than tiers", workspaces{{Name: "a", Tier: 0}, {Name: "b", Tier: 1}, {Name: "c", Tier: 2}},
			[][]int{{0, 0, 1}, {2, 3, 4}, {5, 6, 7}}},
	}
	for _, c := range cases {
		config := NewRoutingConfig(&kernel.Publication{Routes: routes, Workspaces: c.workspaces})
		for i, want := range c.want {
			var workspace *kernel.PublishedWorkspace
			if len(c.workspaces) > 0 {
				workspace = &c.workspaces[i]
			}
			for j := range routes {
				assert.Equal(t, config.Tier(&routes[j], workspace), want[j], "%s: %d, %d", c.name, i, j)
			}
		}
	}
}
