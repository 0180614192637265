package ticketer

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

const (
	// retryInterval is the pause before a broken link is opened again.
	retryInterval = 500 * time.Millisecond
	// stableTime is how long a link that broke must work again before tickets move back to it, so that a
	// scheduler that stops and starts doesn't make them move to and fro.
	stableTime = time.Second
	// refusedTime is how long a router that doesn't schedule a role isn't asked again.
	refusedTime = time.Second
	// pendingTime is how long releases wait for a broken link. The scheduler frees the grants of a holder that is
	// gone for 3 s by itself.
	pendingTime = 3 * time.Second
	// idleTime is how long a link stays open without tickets and grants.
	idleTime = 30 * time.Second
)

// link is the stream to one scheduler router.
type link struct {
	name string
	// outbox is that of the current stream; nil while there is none.
	outbox *messenger.Outbox[protocol.HolderMessage]
	// confirmed says that the current stream has received something, since when.
	confirmed bool
	since     time.Time
	// broken is when the last stream broke; zero if none has.
	broken time.Time
	// refused holds the roles that this router doesn't schedule, until when.
	refused map[string]time.Time
	// held holds the requests with a grant of this scheduler.
	held map[string]bool
	// pending holds releases for which there was no stream.
	pending []*protocol.Release
	used    time.Time
}

// usable says whether tickets may be sent on the link. A link that never broke is used before it is confirmed: the
// first tickets then travel with the hello.
func (l *link) usable(now time.Time, role string, member detector.Member) bool {
	if now.Before(l.refused[role]) {
		return false
	}
	if l.broken.IsZero() {
		return l.confirmed || member.State == protocol.MemberState_MEMBER_STATE_ALIVE
	}
	return l.confirmed && now.Sub(l.since) >= stableTime
}

// linkTo returns the link to a router, opening it if necessary. It returns nil after Run has ended.
func (t *Ticketer) linkTo(now time.Time, name string) *link {
	l, ok := t.links[name]
	if !ok {
		l = &link{name: name, refused: make(map[string]time.Time), held: make(map[string]bool)}
		t.links[name] = l
	}
	l.used = now
	if l.outbox == nil {
		t.open(now, l)
	}
	return l
}

// open starts a stream. Its first message is the hello with the grants still held and the pending releases.
func (t *Ticketer) open(now time.Time, l *link) {
	dialer, address := t.options.Local, ""
	if l.name != t.options.Self {
		member, ok := t.options.Members.View().Member(l.name)
		if !ok {
			return
		}
		dialer, address = t.options.Remote, member.Address
	}
	if t.stopped {
		return
	}
	outbox := messenger.NewHolderOutbox()
	hello := &protocol.Hello{Router: t.options.Self, Incarnation: t.options.Incarnation}
	hello.Held = slices.Sorted(maps.Keys(l.held))
	for _, release := range l.pending {
		hello.Held = append(hello.Held, release.GetRequestId())
	}
	_ = outbox.Put(&protocol.HolderMessage{Hello: hello, Releases: l.pending})
	l.pending = nil
	l.outbox, l.since = outbox, now
	l.confirmed = l.name == t.options.Self
	t.group.Go(func() error {
		err := dialer.Schedule(t.ctx, address, outbox, func(message *protocol.SchedulerMessage) { t.receive(l, outbox, message) })
		t.broke(l, outbox, err)
		return nil
	})
}

// send puts a message on the current stream. A failure to do so ends the stream, which broke handles.
func (l *link) send(message *protocol.HolderMessage) {
	if l.outbox != nil {
		_ = l.outbox.Put(message)
	}
}

func (l *link) release(now time.Time, release *protocol.Release) {
	delete(l.held, release.GetRequestId())
	switch {
	case l.outbox != nil:
		l.send(&protocol.HolderMessage{Releases: []*protocol.Release{release}})
	case now.Sub(l.broken) < pendingTime:
		l.pending = append(l.pending, release)
	}
}

// broke ends a stream and sends its tickets elsewhere at once.
func (t *Ticketer) broke(l *link, outbox *messenger.Outbox[protocol.HolderMessage], err error) {
	t.mu.Lock()
	if l.outbox != outbox {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	l.outbox, l.confirmed, l.broken = nil, false, now
	if t.ctx.Err() == nil {
		t.options.Logger.Info("stream to scheduler broke", zap.String("router", l.name), zap.Error(err))
	}
	decisions := t.reassign(now)
	t.mu.Unlock()
	deliver(decisions)
}

// maintain opens broken links that are wanted again and drops idle ones.
func (t *Ticketer) maintain(now time.Time) {
	wanted := t.wantedLinks()
	view := t.options.Members.View()
	for name, l := range t.links {
		member, known := view.Member(name)
		gone := name != t.options.Self && (!known || member.State == protocol.MemberState_MEMBER_STATE_DEAD)
		inUse := wanted[name] || len(l.held) > 0 || len(l.pending) > 0
		if inUse {
			l.used = now
		}
		switch {
		case l.outbox == nil && (gone || !inUse):
			if now.Sub(l.used) >= idleTime || gone {
				delete(t.links, name)
			}
		case l.outbox == nil && now.Sub(l.broken) >= retryInterval:
			t.open(now, l)
		case l.outbox != nil && !inUse && now.Sub(l.used) >= idleTime:
			l.outbox.Close()
			l.outbox = nil
			delete(t.links, name)
		}
	}
	for name := range wanted {
		if t.links[name] == nil {
			t.linkTo(now, name)
		}
	}
}

// stop closes all links.
func (t *Ticketer) stop(cancel context.CancelFunc) {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	cancel()
}
