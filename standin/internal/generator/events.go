package generator

import (
	"time"

	"coltsfootplank/internal/kernel"
)

const (
	// maxEvents is the maximum number of retained cache events; older ones are dropped and leave a gap.
	maxEvents = 4096
	// maxEventsPerPage is the maximum number of events in one response.
	maxEventsPerPage = 512
	// restartSeqGap is added to the sequence number at a restart, so that a reader detects the loss of events.
	restartSeqGap = 1000
)

// eventLog retains cache events and shows them after a lag. It isn't safe for concurrent use.
type eventLog struct {
	lag    time.Duration
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	kernel.CacheEvent
	recordedAt time.Time
}

// add records an event. A lost event uses up a sequence number but is never returned.
func (l *eventLog) add(kind kernel.CacheEventKind, hash uint64, lost bool) {
	l.seq++
	if lost {
		return
	}
	event := kernel.CacheEvent{Seq: l.seq, Kind: kind, Hash: hash}
	l.events = append(l.events, timedEvent{CacheEvent: event, recordedAt: time.Now()})
	if len(l.events) > maxEvents {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-maxEvents/2:]...)
	}
}

// page returns the visible events after a sequence number.
func (l *eventLog) page(after uint64) kernel.CacheEvents {
	page := kernel.CacheEvents{Events: []kernel.CacheEvent{}, Next: after}
	cutoff := time.Now().Add(-l.lag)
	for _, event := range l.events {
		if event.recordedAt.After(cutoff) || len(page.Events) == maxEventsPerPage {
			break
		}
		if event.Seq > after {
			page.Events = append(page.Events, event.CacheEvent)
			page.Next = event.Seq
		}
	}
	return page
}
