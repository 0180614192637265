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
	// retryInterval is the delay before a broken link is reopened.
	retryInterval = 500 * time.Millisecond
	// stabilityTime is how long a reopened link must work before tickets move back to it, so that a scheduler that
	// keeps restarting doesn't make tickets move back and forth.
	stabilityTime = time.Second
	// refusedRoleTimeout is how long no tickets of a role are sent to a router that has answered that it doesn't
	// schedule the role.
	refusedRoleTimeout = time.Second
	// pendingReleaseTimeout is how long after a break releases are kept for the next stream. A scheduler frees the
	// grants of a holder by itself once the holder has been disconnected for 3 s.
	pendingReleaseTimeout = 3 * time.Second
	// idleTimeout is how long a link without tickets and grants stays open.
	idleTimeout = 30 * time.Second
)

// link is the connection to one scheduler, over successive streams.
type link struct {
	name string
	// outbox is the outbox of the current stream, nil while there is no stream.
	outbox *messenger.Outbox[protocol.HolderMessage]
	// confirmed is set once the current stream has received a message, at confirmedAt. The stream to this process's own
	// scheduler counts as confirmed from the start.
	confirmed   bool
	confirmedAt time.Time
	// brokenAt is when the last stream broke, zero if none has.
	brokenAt time.Time
	// refusedUntil maps each role that the router has refused to schedule to the time until which it isn't asked again.
	refusedUntil map[string]time.Time
	// held contains the IDs of the requests with a grant of this scheduler, or adopted by it.
	held map[string]bool
	// pending contains the releases to send on the next stream.
	pending  []*protocol.Release
	lastUsed time.Time
}

// usable reports whether tickets of a role may be sent on the link. A link that never broke may be used before it is
// confirmed, so that the first tickets are sent together with the hello.
func (l *link) usable(now time.Time, role string, member detector.Member) bool {
	if now.Before(l.refusedUntil[role]) {
		return false
	}
	if l.brokenAt.IsZero() {
		return l.confirmed || member.State == protocol.MemberState_MEMBER_STATE_ALIVE
	}
	return l.confirmed && now.Sub(l.confirmedAt) >= stabilityTime
}

// linkTo returns the link to a router and opens a stream if there is none. No stream is opened to an unknown router or
// after Run has ended.
func (t *Ticketer) linkTo(now time.Time, name string) *link {
	l, ok := t.links[name]
	if !ok {
		l = &link{name: name, refusedUntil: make(map[string]time.Time), held: make(map[string]bool)}
		t.links[name] = l
	}
	l.lastUsed = now
	if l.outbox == nil {
		t.open(now, l)
	}
	return l
}

// open starts a stream. Its first message is the hello with the grants still held, together with the pending releases.
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
	l.outbox, l.confirmedAt = outbox, now
	l.confirmed = l.name == t.options.Self
	t.group.Go(func() error {
		err := dialer.Schedule(t.ctx, address, outbox, func(message *protocol.SchedulerMessage) { t.receive(l, outbox, message) })
		t.handleBreak(l, outbox, err)
		return nil
	})
}

// send queues a message on the current stream, if there is one. If that fails, the stream ends and handleBreak follows
// up.
func (l *link) send(message *protocol.HolderMessage) {
	if l.outbox != nil {
		_ = l.outbox.Put(message)
	}
}

// release sends a release, or keeps it for the next stream if the current one broke recently.
func (l *link) release(now time.Time, release *protocol.Release) {
	delete(l.held, release.GetRequestId())
	switch {
	case l.outbox != nil:
		l.send(&protocol.HolderMessage{Releases: []*protocol.Release{release}})
	case now.Sub(l.brokenAt) < pendingReleaseTimeout:
		l.pending = append(l.pending, release)
	}
}

// handleBreak marks a link as broken and immediately sends its waiting tickets to other schedulers.
func (t *Ticketer) handleBreak(l *link, outbox *messenger.Outbox[protocol.HolderMessage], err error) {
	t.mu.Lock()
	if l.outbox != outbox {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	l.outbox, l.confirmed, l.brokenAt = nil, false, now
	if t.ctx.Err() == nil {
		t.options.Logger.Info("stream to scheduler broke", zap.String("router", l.name), zap.Error(err))
	}
	decisions := t.reassign(now)
	t.mu.Unlock()
	deliver(decisions)
}

// maintainLinks reopens broken links that are still needed, opens missing ones and removes idle ones.
func (t *Ticketer) maintainLinks(now time.Time) {
	wanted := t.wantedLinks()
	view := t.options.Members.View()
	for name, l := range t.links {
		member, known := view.Member(name)
		gone := name != t.options.Self && (!known || member.State == protocol.MemberState_MEMBER_STATE_DEAD)
		inUse := wanted[name] || len(l.held) > 0 || len(l.pending) > 0
		if inUse {
			l.lastUsed = now
		}
		switch {
		case l.outbox == nil && (gone || !inUse):
			if now.Sub(l.lastUsed) >= idleTimeout || gone {
				delete(t.links, name)
			}
		case l.outbox == nil && now.Sub(l.brokenAt) >= retryInterval:
			t.open(now, l)
		case l.outbox != nil && !inUse && now.Sub(l.lastUsed) >= idleTimeout:
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

// stop closes all streams and prevents new ones.
func (t *Ticketer) stop(cancel context.CancelFunc) {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	cancel()
}
