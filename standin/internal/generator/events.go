package generator

import (
	"time"

	"coltsfootplank/internal/kernel"
)

const (
	// keptEvents bounds the cache events kept; older ones are dropped and leave a gap.
	keptEvents = 4096
	// eventPage bounds the events in one answer.
	eventPage = 512
	// restartGap is added to the sequence number by a restart, so that a reader sees that events were lost.
	restartGap = 1000
)

// eventLog keeps cache events until they become visible. It isn't safe for concurrent use.
type eventLog struct {
	lag    time.Duration
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	kernel.CacheEvent
	at time.Time
}

// add records an event. A lost event takes a sequence number and is never shown.
func (l *eventLog) add(kind kernel.CacheEventKind, hash uint64, lost bool) {
	l.seq++
	if lost {
		return
	}
	event := kernel.CacheEvent{Seq: l.seq, Kind: kind, Hash: hash}
	l.events = append(l.events, timedEvent{CacheEvent: event, at: time.Now()})
	if len(l.events) > keptEvents {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-keptEvents/2:]...)
	}
}

// page returns the visible events after a sequence number.
func (l *eventLog) page(after uint64) kernel.CacheEvents {
	page := kernel.CacheEvents{Events: []kernel.CacheEvent{}, Next: after}
	horizon := time.Now().Add(-l.lag)
	for _, event := range l.events {
		if event.at.After(horizon) || len(page.Events) == eventPage {
			break
		}
		if event.Seq > after {
			page.Events = append(page.Events, event.CacheEvent)
			page.Next = event.Seq
		}
	}
	return page
}
