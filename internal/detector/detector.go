package detector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/protocol"
)

// Detector maintains the member table of one router. Its methods may be called concurrently.
type Detector struct {
	settings  Settings
	transport Transport
	view      atomic.Pointer[View]
	departed  atomic.Bool

	mu    sync.Mutex
	table *table
	// probeOrder lists the members that are still to be probed in the current round.
	probeOrder  []string
	subscribers map[int]func(*View)
	nextID      int
	// pushes is signalled when the newest deltas are to be pushed to other members.
	pushes chan struct{}
}

// New returns a detector whose own member is in state joining. Run starts it.
func New(settings Settings, transport Transport) *Detector {
	settings = settings.withDefaults()
	d := &Detector{
		settings:    settings,
		transport:   transport,
		table:       newTable(settings, time.Now()),
		subscribers: make(map[int]func(*View)),
		pushes:      make(chan struct{}, 1),
	}
	d.update(func(time.Time, *table) {})
	return d
}

// View returns the current view; it is never nil.
func (d *Detector) View() *View { return d.view.Load() }

// Subscribe calls notify with the newest view after each change, until the returned function is called. Versions may be
// skipped. notify must not block.
func (d *Detector) Subscribe(notify func(*View)) (unsubscribe func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.nextID
	d.nextID++
	d.subscribers[id] = notify
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.subscribers, id)
	}
}

// Ready announces that this router accepts work: its state changes from joining to alive.
func (d *Detector) Ready() {
	d.update(func(_ time.Time, t *table) {
		if t.self.GetState() == joining {
			t.updateSelf(func(m *protocol.Member) { m.State = alive })
		}
	})
}

// Leave announces a planned stop: this router loses its roles but still answers probes. It notifies some members
// directly, so that the others learn of it within one or two probe intervals.
func (d *Detector) Leave(ctx context.Context) {
	d.update(func(_ time.Time, t *table) {
		if t.self.GetState() < leaving {
			t.updateSelf(func(m *protocol.Member) { m.State = leaving })
		}
	})
	d.pushDeltas(ctx)
}

// Depart announces that this router has left. It answers no probes afterwards.
func (d *Detector) Depart(ctx context.Context) {
	d.update(func(_ time.Time, t *table) {
		if t.self.GetState() < leaving {
			t.updateSelf(func(m *protocol.Member) { m.State = leaving })
		}
	})
	d.pushDeltas(ctx)
	d.update(func(_ time.Time, t *table) { t.updateSelf(func(m *protocol.Member) { m.State = dead }) })
	d.pushDeltas(ctx)
	d.departed.Store(true)
}

// SetCatalogue announces the catalogue revision and offset of this router. Older values are ignored.
func (d *Detector) SetCatalogue(revision uint64, offset int64) {
	d.update(func(_ time.Time, t *table) {
		if offset > t.self.GetCatalogueOffset() || revision > t.self.GetCatalogueRevision() {
			t.updateSelf(func(m *protocol.Member) { m.CatalogueRevision, m.CatalogueOffset = revision, offset })
		}
	})
}

// AddConvictions adds suspect and poison fingerprints that this router found. What is new is pushed to other members and
// gossiped.
func (d *Detector) AddConvictions(convictions []*protocol.Conviction) {
	d.update(func(now time.Time, t *table) {
		if t.mergeConvictions(now, convictions) {
			t.push = true
		}
	})
}

// Run probes members and reads the VM list until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.probeLoop(groupCtx, group) })
	if d.settings.VMList != nil {
		group.Go(func() error { return d.pollVMList(groupCtx) })
	}
	return group.Wait()
}

// update applies change to the table. If the table has changed, it publishes a new view and notifies the subscribers
// after releasing the lock.
func (d *Detector) update(change func(now time.Time, t *table)) {
	d.mu.Lock()
	change(time.Now(), d.table)
	if d.table.push {
		d.table.push = false
		select {
		case d.pushes <- struct{}{}:
		default:
		}
	}
	if !d.table.changed {
		d.mu.Unlock()
		return
	}
	d.table.changed = false
	version := uint64(1)
	if last := d.view.Load(); last != nil {
		version = last.Version + 1
	}
	view := newView(version, d.settings.Name, d.table.members(), d.table.vms, d.table.sortedConvictions())
	d.view.Store(view)
	subscribers := make([]func(*View), 0, len(d.subscribers))
	for _, notify := range d.subscribers {
		subscribers = append(subscribers, notify)
	}
	d.mu.Unlock()
	for _, notify := range subscribers {
		notify(view)
	}
}

// Dump returns the current view for the state dump.
func (d *Detector) Dump() any { return d.View() }
