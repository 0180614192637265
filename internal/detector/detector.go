package detector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/protocol"
)

// Detector keeps the member table of one router. Its methods may be called concurrently.
type Detector struct {
	settings  Settings
	transport Transport
	view      atomic.Pointer[View]
	departed  atomic.Bool

	mu          sync.Mutex
	table       *table
	round       []string
	subscribers map[int]func(*View)
	nextID      int
}

// New returns a detector in state joining. Run makes it work.
func New(settings Settings, transport Transport) *Detector {
	settings = settings.withDefaults()
	d := &Detector{
		settings:    settings,
		transport:   transport,
		table:       newTable(settings, time.Now()),
		subscribers: make(map[int]func(*View)),
	}
	d.update(func(time.Time, *table) {})
	return d
}

// View returns the current view; it is never nil.
func (d *Detector) View() *View { return d.view.Load() }

// Subscribe calls notify after each change with the newest view, which may skip versions, until the returned function
// is called. notify must not block.
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

// Ready announces that this router takes work: joining becomes alive.
func (d *Detector) Ready() {
	d.update(func(_ time.Time, t *table) {
		if t.self.GetState() == joining {
			t.updateSelf(func(m *protocol.Member) { m.State = alive })
		}
	})
}

// Leave announces the planned stop: this router loses its roles and goes on answering probes. It tells some
// members directly, so that the others learn of it within a probe interval or two.
func (d *Detector) Leave(ctx context.Context) {
	d.update(func(_ time.Time, t *table) {
		if t.self.GetState() < leaving {
			t.updateSelf(func(m *protocol.Member) { m.State = leaving })
		}
	})
	d.push(ctx)
}

// Depart announces the end of this router, after which it answers no probe.
func (d *Detector) Depart(ctx context.Context) {
	d.update(func(_ time.Time, t *table) {
		if t.self.GetState() < leaving {
			t.updateSelf(func(m *protocol.Member) { m.State = leaving })
		}
	})
	d.push(ctx)
	d.update(func(_ time.Time, t *table) { t.updateSelf(func(m *protocol.Member) { m.State = dead }) })
	d.push(ctx)
	d.departed.Store(true)
}

// SetCatalogue tells the others which catalogue this router has.
func (d *Detector) SetCatalogue(revision uint64, offset int64) {
	d.update(func(_ time.Time, t *table) {
		if offset > t.self.GetCatalogueOffset() || revision > t.self.GetCatalogueRevision() {
			t.updateSelf(func(m *protocol.Member) { m.CatalogueRevision, m.CatalogueOffset = revision, offset })
		}
	})
}

// AddConvictions adds poison fingerprints found here and spreads them.
func (d *Detector) AddConvictions(convictions []*protocol.Conviction) {
	d.update(func(now time.Time, t *table) { t.mergeConvictions(now, convictions) })
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

// update changes the table, publishes a view if it shows a change, and notifies the subscribers without the lock.
func (d *Detector) update(change func(now time.Time, t *table)) {
	d.mu.Lock()
	change(time.Now(), d.table)
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
