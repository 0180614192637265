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
	// streamBufferBytes is the initial size of the relay buffer; it holds a few events.
	streamBufferBytes = 2 << 10
	// maxEventBytes is the size limit of one event.
	maxEventBytes = 4 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// relayStream relays events as they arrive. Until the stream ends it writes only complete events, so that another
// upstream can continue the stream after the last one.
func (x *exchange) relayStream(ctx context.Context, answer *connector.Answer, start time.Time) holder.SendResult {
	controller := http.NewResponseController(x.w)
	observation := dispatcher.Observation{}
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
		completeBytes := end + len(eventEnd)
		if end < 0 {
			completeBytes = 0
		}
		if errors.Is(err, io.EOF) {
			x.attempt.incompleteBytes = len(buffer) - completeBytes
			completeBytes = len(buffer)
		}
		if completeBytes > 0 {
			if observation.FirstToken == 0 {
				observation.FirstToken = time.Since(start)
			}
			if writeErr := x.relayEvents(controller, answer, buffer[:completeBytes]); writeErr != nil {
				answer.Abort()
				x.completeObservation(&observation, start)
				return x.callerGoneResult(ctx, writeErr, observation)
			}
			buffer = buffer[:copy(buffer, buffer[completeBytes:])]
		}
		if err == nil && len(buffer) > maxEventBytes {
			err = &EventTooLargeError{Limit: maxEventBytes}
		}
		if err != nil {
			break
		}
	}
	x.completeObservation(&observation, start)
	if errors.Is(err, io.EOF) && answer.Whole() {
		answer.Done()
		if !x.headWritten {
			if err := x.writeHead(answer, 0); err != nil {
				return x.callerGoneResult(ctx, err, observation)
			}
		}
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, Observation: observation}
	}
	answer.Abort()
	x.attempt.incompleteBytes, x.attempt.end = len(buffer), err
	return x.lostResult(ctx, err, observation)
}

// callerGoneResult returns the result of a stream that could not be written to its caller.
func (x *exchange) callerGoneResult(ctx context.Context, err error, observation dispatcher.Observation) holder.SendResult {
	if ctx.Err() != nil {
		return x.lostResult(ctx, err, observation)
	}
	return holder.SendResult{
		Kind: protocol.ReleaseKind_RELEASE_KIND_CANCELLED, Observation: observation,
		Refusal: &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeCallerGone, Message: err.Error()},
	}
}

// relayEvents writes complete events to the caller, preceded by the status and header if they aren't written yet.
func (x *exchange) relayEvents(controller *http.ResponseController, answer *connector.Answer, events []byte) error {
	if !x.headWritten {
		x.timeToFirstByte = time.Since(x.holderRequest.Arrived)
		if err := x.writeHead(answer, -1); err != nil {
			return err
		}
	}
	now := time.Now()
	if !x.lastRelayed.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastRelayed))
	}
	x.lastRelayed = now
	events = x.dropKnownEvents(events)
	if len(events) == 0 {
		return nil
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return controller.Flush()
}

// dropKnownEvents records the ids of events and removes those that the caller has already received; an upstream may
// repeat them at the start of a resumed stream.
func (x *exchange) dropKnownEvents(events []byte) []byte {
	rest := events
	for len(rest) > 0 {
		end := bytes.Index(rest, eventEnd)
		size := len(rest)
		if end >= 0 {
			size = end + len(eventEnd)
		}
		id, ok := eventID(rest[:size])
		x.attempt.observe(id)
		if ok {
			if x.events > 0 && !isLater(id, x.lastEventID) {
				if len(events) == len(rest) {
					events = events[size:]
				}
			} else {
				x.lastEventID = id
				x.events++
			}
		}
		rest = rest[size:]
	}
	return events
}

// eventID returns the id of an event, and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// isLater reports whether an event id is greater than the last one. If one of them isn't a number, it returns true.
func isLater(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// completeObservation sets the total time and the number of output tokens of a stream that has ended.
func (x *exchange) completeObservation(observation *dispatcher.Observation, start time.Time) {
	observation.Total = time.Since(start)
	observation.OutputTokens = x.events * x.tokensPerEvent
}
