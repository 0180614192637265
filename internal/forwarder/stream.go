package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/protocol"
)

const (
	// streamBufferBytes holds some events of a stream.
	streamBufferBytes = 2 << 10
	// eventLimit bounds one event.
	eventLimit = 4 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream relays events as they arrive, each as a whole, so that the stream can go on at another upstream.
func (x *exchange) stream(ctx context.Context, answer *connector.Answer, began time.Time) holder.SendResult {
	controller := http.NewResponseController(x.w)
	seen := dispatcher.Observation{}
	buffer := make([]byte, 0, streamBufferBytes)
	var err error
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		var n int
		n, err = answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		end := bytes.LastIndex(buffer, eventEnd)
		whole := end + len(eventEnd)
		if end < 0 {
			whole = 0
		}
		if errors.Is(err, io.EOF) {
			whole = len(buffer)
		}
		if whole > 0 {
			if seen.FirstToken == 0 {
				seen.FirstToken = time.Since(began)
			}
			if writeErr := x.pass(controller, answer, buffer[:whole]); writeErr != nil {
				answer.Abort()
				x.finishSeen(&seen, began)
				return x.callerGone(ctx, writeErr, seen)
			}
			buffer = buffer[:copy(buffer, buffer[whole:])]
		}
		if err == nil && len(buffer) > eventLimit {
			err = &EventTooLargeError{Limit: eventLimit}
		}
		if err != nil {
			break
		}
	}
	x.finishSeen(&seen, began)
	if errors.Is(err, io.EOF) && answer.Whole() {
		answer.Done()
		if !x.started {
			if err := x.writeHead(answer, 0); err != nil {
				return x.callerGone(ctx, err, seen)
			}
		}
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, Observation: seen}
	}
	answer.Abort()
	return x.lost(ctx, err, seen)
}

// callerGone ends a stream whose caller doesn't take it any more.
func (x *exchange) callerGone(ctx context.Context, err error, seen dispatcher.Observation) holder.SendResult {
	if ctx.Err() != nil {
		return x.lost(ctx, err, seen)
	}
	return holder.SendResult{
		Kind: protocol.ReleaseKind_RELEASE_KIND_CANCELLED, Observation: seen,
		Refusal: &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeCallerGone, Message: err.Error()},
	}
}

// pass writes whole events to the caller.
func (x *exchange) pass(controller *http.ResponseController, answer *connector.Answer, events []byte) error {
	if !x.started {
		x.firstByte = time.Since(x.held.Arrived)
		if err := x.writeHead(answer, -1); err != nil {
			return err
		}
	}
	now := time.Now()
	if !x.lastPassed.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastPassed))
	}
	x.lastPassed = now
	events = x.skipKnown(events)
	if len(events) == 0 {
		return nil
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return controller.Flush()
}

// skipKnown notes the ids of events and drops those that the caller has already, which an upstream may repeat at the
// start of a resumed stream.
func (x *exchange) skipKnown(events []byte) []byte {
	rest := events
	for len(rest) > 0 {
		end := bytes.Index(rest, eventEnd)
		size := len(rest)
		if end >= 0 {
			size = end + len(eventEnd)
		}
		if id, ok := eventID(rest[:size]); ok {
			if x.events > 0 && !follows(id, x.lastEvent) {
				if len(events) == len(rest) {
					events = events[size:]
				}
			} else {
				x.lastEvent = id
				x.events++
			}
		}
		rest = rest[size:]
	}
	return events
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// follows says whether an event id comes after another. Ids that aren't numbers always do.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// finishSeen completes what was observed of a stream.
func (x *exchange) finishSeen(seen *dispatcher.Observation, began time.Time) {
	seen.Total = time.Since(began)
	seen.OutputTokens = x.events * x.tokensPerEvent
}
