package archiver

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

const retention = time.Hour

// expiry is when the convictions of the tests expire, unless a test sets another time.
var expiry = time.Now().Add(30 * time.Minute).UnixMilli()

// fakeDirectory keeps the newest record of each key.
type fakeDirectory struct {
	mu      sync.Mutex
	records map[string]kernel.DirectoryRecord
	era     int64
	down    bool
	// answered is called once after the next write, before its answer arrives; nil for none.
	answered func()
	// calls counts the calls of any kind.
	calls int
}

func (d *fakeDirectory) call() error {
	d.calls++
	if d.down {
		return &kernel.LogUnavailableError{Operation: "call"}
	}
	return nil
}

func (d *fakeDirectory) Newest(context.Context, kernel.Topic) (kernel.DirectoryPage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	page := kernel.DirectoryPage{Next: kernel.PositionOf(d.era, 0), Records: slices.Collect(maps.Values(d.records))}
	return page, d.call()
}

func (d *fakeDirectory) Write(_ context.Context, records []kernel.DirectoryRecord) (era int64, err error) {
	defer d.answer()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.call(); err != nil {
		return 0, err
	}
	for _, r := range records {
		d.records[r.Key] = r
		if r.Value == nil {
			delete(d.records, r.Key)
		}
	}
	return d.era, nil
}

// answer calls answered.
func (d *fakeDirectory) answer() {
	d.mu.Lock()
	answered := d.answered
	d.answered = nil
	d.mu.Unlock()
	if answered != nil {
		answered()
	}
}

func (d *fakeDirectory) Era() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era
}

// restore puts the directory back to an empty copy.
func (d *fakeDirectory) restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records, d.era = make(map[string]kernel.DirectoryRecord), d.era+1
}

func (d *fakeDirectory) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

func (d *fakeDirectory) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// routers are routers that know the same convictions. The first of them reads the directory.
type routers struct {
	t         *testing.T
	directory *fakeDirectory
	mu        sync.Mutex
	known     []*protocol.Conviction
	archivers []*Archiver
	stops     []context.CancelFunc
	group     errgroup.Group
}

func (r *routers) Known() []*protocol.Conviction {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.known)
}

func (r *routers) add(convictions []*protocol.Conviction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range convictions {
		r.known = slices.DeleteFunc(r.known, func(k *protocol.Conviction) bool { return k.GetFingerprint() == c.GetFingerprint() })
		r.known = append(r.known, c)
	}
	slices.SortFunc(r.known, func(a, b *protocol.Conviction) int { return cmp.Compare(a.GetFingerprint(), b.GetFingerprint()) })
}

// start starts all routers, which know nothing and read the directory as far as they can.
func (r *routers) start(count int) {
	r.known, r.archivers, r.stops = nil, nil, nil
	for i := range count {
		a := New(Options{
			Directory: r.directory, Known: r.Known, Add: r.add, Reading: func() bool { return i == 0 },
			Retention: retention, Logger: zap.NewNop(),
		})
		if page, err := r.directory.Newest(r.t.Context(), kernel.TopicRouters); err == nil {
			a.Observe(page)
		}
		ctx, stop := context.WithCancel(r.t.Context())
		r.archivers, r.stops = append(r.archivers, a), append(r.stops, stop)
		r.group.Go(func() error { return a.Run(ctx) })
	}
}

func (r *routers) kill(routers ...int) {
	for _, i := range routers {
		r.stops[i]()
	}
	synctest.Wait()
}

func newConviction(fingerprint uint64, crashes uint32, convicted bool) *protocol.Conviction {
	return &protocol.Conviction{
		Fingerprint: fingerprint, Crashes: crashes, Convicted: convicted, CrashIds: []uint64{1<<63 + fingerprint, 7},
		ExpiresUnixMs: expiry,
	}
}

// TestConvictionsLost guards against a request that crashes engines anew after all routers were lost, because nothing of what
// they knew was left or it was stored too late.
func TestConvictionsLost(t *testing.T) {
	const finder = 2
	list := func(r *routers) kernel.DirectoryPage {
		page, err := r.directory.Newest(r.t.Context(), kernel.TopicRouters)
		assert.NilError(r.t, err)
		return page
	}
	rows := []struct {
		name  string
		found *protocol.Conviction
		// down is set if the directory is down when the finder finds the conviction.
		down bool
		// trouble happens after that. All routers are killed within the given time after its end.
		trouble func(r *routers)
		within  time.Duration
		want    bool
	}{
		{"convicted", newConviction(1, 3, true), false, func(*routers) {}, 10 * time.Millisecond, true},
		{"two crashes", newConviction(1, 2, false), false, func(*routers) {}, 10 * time.Millisecond, true},
		{"one crash", newConviction(1, 1, false), false, func(*routers) {}, 10 * time.Millisecond, true},
		{"finder killed in an outage", newConviction(1, 3, true), true, func(r *routers) {
			time.Sleep(300 * time.Millisecond)
			r.kill(finder)
			r.directory.setDown(false)
		}, 3 * time.Second, true},
		{"outage", newConviction(1, 3, true), true, func(r *routers) {
			time.Sleep(5 * time.Second)
			r.directory.setDown(false)
		}, 1500 * time.Millisecond, true},
		{"directory restored from a copy", newConviction(1, 3, true), false, func(r *routers) {
			time.Sleep(5 * time.Second)
			r.directory.restore()
			r.kill(finder)
		}, 3 * time.Second, true},
		{"restored while it is away", newConviction(1, 3, true), false, func(r *routers) {
			time.Sleep(5 * time.Second)
			r.directory.setDown(true)
			time.Sleep(time.Second)
			r.directory.restore()
			r.directory.setDown(false)
		}, 3 * time.Second, true},
		{"restored twice", newConviction(1, 3, true), false, func(r *routers) {
			time.Sleep(5 * time.Second)
			r.directory.restore()
			time.Sleep(2 * time.Second)
			r.directory.restore()
			r.kill(finder)
		}, 3 * time.Second, true},
		{"restored before a list has arrived", newConviction(1, 3, true), false, func(r *routers) {
			time.Sleep(5 * time.Second)
			listed := list(r)
			r.directory.restore()
			for _, a := range r.archivers {
				a.Observe(listed)
			}
		}, 3 * time.Second, true},
		{"restored before the answer to a write has arrived", newConviction(1, 3, true), true, func(r *routers) {
			// Of the routers that are left, the first one stores what the finder has found, and lists the records meanwhile.
			r.kill(finder)
			r.directory.answered = func() {
				r.directory.restore()
				r.archivers[0].Observe(list(r))
			}
			r.directory.setDown(false)
			time.Sleep(5 * time.Second)
		}, 3 * time.Second, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &routers{t: t, directory: &fakeDirectory{}}
				r.directory.restore()
				r.start(4)
				time.Sleep(time.Second)
				row.found.ExpiresUnixMs = time.Now().Add(30 * time.Minute).UnixMilli()
				r.directory.setDown(row.down)
				r.archivers[finder].Add([]*protocol.Conviction{row.found})
				time.Sleep(time.Millisecond)
				row.trouble(r)
				time.Sleep(row.within)
				r.kill(0, 1, 2, 3)
				r.start(4)
				known := find(r.Known(), row.found.GetFingerprint())
				assert.Equal(t, known != nil, row.want)
				if row.want {
					assert.Equal(t, known.GetConvicted(), row.found.GetConvicted())
					assert.Equal(t, known.GetCrashes(), row.found.GetCrashes())
					assert.DeepEqual(t, known.GetCrashIds(), row.found.GetCrashIds())
					assert.Equal(t, known.GetExpiresUnixMs(), row.found.GetExpiresUnixMs())
				}
				calls := r.directory.callCount()
				time.Sleep(time.Minute)
				assert.Equal(t, r.directory.callCount(), calls, "calls although all is stored")
				r.kill(0, 1, 2, 3)
				assert.Assert(t, errors.Is(r.group.Wait(), context.Canceled))
			})
		})
	}
}

// TestOneCrashInEachLife guards against a request that crashes one engine after the other because all routers are lost after
// each crash.
func TestOneCrashInEachLife(t *testing.T) {
	const lives, limit = 9, 3
	settings := isolator.Settings{SuspectRetention: 10 * time.Minute, PoisonRetention: retention, MaxEntries: 100, CrashLimit: limit}
	stored := make(map[uint64]*protocol.Conviction)
	crashes := 0
	for life := range uint64(lives) {
		now := time.Now()
		i := isolator.New(settings)
		i.Merge(now, slices.Collect(maps.Values(stored)))
		if i.State(now, 1) == isolator.Poison {
			continue
		}
		crashes++
		i.RecordCrash(now, isolator.Crash{ID: 100 + life, At: now}, isolator.Run{Traits: isolator.Traits{Fingerprint: 1}, GrantedAt: now})
		// Another engine ends for a cause of its own, with many requests on it.
		for other := range uint64(12) {
			id := 1000*(life+1) + other
			i.RecordCrash(now, isolator.Crash{ID: 200 + life, At: now}, isolator.Run{Traits: isolator.Traits{Fingerprint: id}, GrantedAt: now})
		}
		put, _ := plan(now, i.List(now), stored)
		for _, c := range put {
			stored[c.GetFingerprint()] = c
		}
	}
	assert.Equal(t, crashes, limit)
	assert.Equal(t, len(stored), 1, "requests that ran with many others are stored")
}

// TestPlan guards against records that grow without bound, that are written again and again, or that are less than what the
// routers know.
func TestPlan(t *testing.T) {
	now := time.Now()
	expired := newConviction(1, 3, true)
	expired.ExpiresUnixMs = now.UnixMilli()
	later := newConviction(1, 3, true)
	later.ExpiresUnixMs += expiryTolerance.Milliseconds() + 1
	alone, together := newConviction(1, 3, true), newConviction(1, 3, true)
	together.Together = []uint64{5}
	var many []*protocol.Conviction
	for i := range uint64(maxRecords) {
		many = append(many, newConviction(100+i, 3, true))
	}
	type list = []*protocol.Conviction
	rows := []struct {
		name          string
		known, stored list
		put           int
		drop          []uint64
	}{
		{"new", list{newConviction(1, 3, true)}, nil, 1, nil},
		{"stored", list{newConviction(1, 3, true)}, list{newConviction(1, 3, true)}, 0, nil},
		{"one crash", list{newConviction(1, 1, false)}, nil, 1, nil},
		{"one crash of a part", list{{Fingerprint: 1, Part: true, Crashes: 1, ExpiresUnixMs: expiry}}, nil, 0, nil},
		{"another crash", list{newConviction(1, 3, false)}, list{newConviction(1, 2, false)}, 1, nil},
		{"convicted after", list{newConviction(1, 3, true)}, list{newConviction(1, 3, false)}, 1, nil},
		{"another crash of a convicted one", list{newConviction(1, 4, true)}, list{newConviction(1, 3, true)}, 0, nil},
		{"longer", list{later}, list{newConviction(1, 3, true)}, 1, nil},
		{"on its own", list{alone}, list{together}, 1, nil},
		{"together", list{together}, list{alone}, 0, nil},
		{"expired", list{expired}, list{expired}, 0, nil},
		{"expired, and a new one", list{expired, newConviction(2, 3, true)}, list{expired}, 1, []uint64{1}},
		{"too many", append(list{newConviction(1, 3, true)}, many...), many, 1, []uint64{100 + maxRecords - 1}},
		{"too many, of little worth", append(list{newConviction(1, 2, false)}, many...), many, 0, nil},
	}
	for _, row := range rows {
		stored := make(map[uint64]*protocol.Conviction)
		for _, c := range row.stored {
			stored[c.GetFingerprint()] = c
		}
		put, drop := plan(now, row.known, stored)
		assert.Equal(t, len(put), row.put, row.name)
		assert.DeepEqual(t, drop, row.drop)
		assert.Check(t, len(stored)+len(put)-len(drop) <= maxRecords, row.name)
	}
}

// TestMalformedRecords guards against records of another writer that keep a request refused for ever, or that take memory.
func TestMalformedRecords(t *testing.T) {
	now := time.Now()
	sound, err := encode(newConviction(0xab, 3, true))
	assert.NilError(t, err)
	rows := []struct {
		key, value string
		decoded    bool
		malformed  bool
	}{
		{sound.Key, string(sound.Value), true, false},
		{"router/a", string(sound.Value), false, false},
		{sound.Key, "", false, false},
		{KeyPrefix + "0", string(sound.Value), false, true},
		{KeyPrefix + "00ab", string(sound.Value), false, true},
		{KeyPrefix + "xyz", string(sound.Value), false, true},
		{sound.Key, "text", false, true},
		{sound.Key, `{"convicted":true,"crash_ids":[-1]}`, false, true},
		{sound.Key, `{"convicted":true,"crash_ids":[` + strings.Repeat("1,", maxCrashIDs) + `1]}`, false, true},
		{sound.Key, `{"convicted":true,"together":[` + strings.Repeat("1,", maxTogether) + `1]}`, false, true},
		{sound.Key, `{"convicted":true,"expires_unix_ms":9223372036854775807}`, true, false},
	}
	for _, row := range rows {
		c, err := decode(kernel.DirectoryRecord{Key: row.key, Value: []byte(row.value)}, now, retention)
		var malformed *kernel.MalformedRecordError
		assert.Equal(t, errors.As(err, &malformed), row.malformed, row.value)
		assert.Equal(t, c != nil, row.decoded, row.value)
		assert.Check(t, c.GetExpiresUnixMs() <= now.Add(retention).UnixMilli())
	}
}
