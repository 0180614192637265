package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/protocol"
)

// eventStreamType is the content type of event streams.
const eventStreamType = "text/event-stream"

// isEventStream reports whether an answer is a stream of events. An answer without a content type is one.
func isEventStream(header http.Header) bool {
	contentType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return contentType == "" || strings.EqualFold(strings.TrimSpace(contentType), eventStreamType)
}

// relayStream relays events as they arrive. It writes only complete events, so that another upstream can continue the
// stream after the last one.
func (x *exchange) relayStream(ctx context.Context, answer *connector.Answer, start time.Time) holder.SendResult {
	observation := dispatcher.Observation{}
	err := x.relayBody(answer, start, &observation)
	observation.Total = time.Since(start)
	observation.OutputTokens = x.sequence.events * x.tokensPerEvent
	observation.Begun = x.attempt.events > 1
	if err == nil {
		answer.Done()
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, Observation: observation}
	}
	answer.Abort()
	x.attempt.end = err
	var writeFailed *CallerWriteError
	if errors.As(err, &writeFailed) {
		return x.callerGoneResult(ctx, err, observation)
	}
	return x.lostResult(ctx, err, observation)
}

// relayBody relays the events of one answer. It returns nil if the body ended in the regular way after a complete event.
// Errors: those of relayEvents and finishStream, *EventTooLargeError, and those of eventBuffer.fill.
func (x *exchange) relayBody(answer *connector.Answer, start time.Time, observation *dispatcher.Observation) error {
	controller := http.NewResponseController(x.w)
	memory := answer.Memory()
	defer memory.Release()
	buffer := newEventBuffer(memory)
	x.sequence.beginAttempt()
	for {
		readErr := buffer.fill(answer)
		if err := x.relayEvents(controller, answer, buffer); err != nil {
			return err
		}
		if observation.FirstToken == 0 && x.attempt.events > 0 {
			observation.FirstToken = time.Since(start)
		}
		x.attempt.incompleteBytes = len(buffer.rest())
		switch {
		case errors.Is(readErr, io.EOF) && answer.Whole():
			return x.finishStream(answer, buffer.rest())
		case readErr != nil:
			return readErr
		case len(buffer.rest()) > maxEventBytes:
			return &EventTooLargeError{Limit: maxEventBytes}
		}
	}
}

// finishStream checks that the regular end of an answer's body is the end of the stream. rest is what follows its last
// complete event. If the stream has no events, it writes the head. Errors: *IncompleteEventError, *EmptyStreamError,
// *EarlyEndError, *CallerWriteError.
func (x *exchange) finishStream(answer *connector.Answer, rest []byte) error {
	if len(bytes.Trim(rest, "\r\n")) > 0 {
		return &IncompleteEventError{Bytes: len(rest)}
	}
	if x.attempt.events == 0 && answer.EndsWithConnection() {
		return &EmptyStreamError{}
	}
	if x.sequence.endsEarly() {
		return &EarlyEndError{Last: x.sequence.lastID}
	}
	if x.headWritten {
		return nil
	}
	return x.writeHead(answer, 0)
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

// relayEvents writes the complete events of a buffer to the caller, preceded by the status and header if they aren't
// written yet. Errors: *CallerWriteError, and *MalformedEventError and those of sequence.accept, before which all accepted
// events are written.
func (x *exchange) relayEvents(controller *http.ResponseController, answer *connector.Answer, buffer *eventBuffer) error {
	written := false
	var orderErr error
	for event := buffer.event(); event != nil; event = buffer.event() {
		id := eventID(event)
		x.attempt.observe(id)
		if !wellFormed(event) {
			orderErr = &MalformedEventError{ID: id}
			break
		}
		var accepted bool
		if accepted, orderErr = x.sequence.accept(id, event); orderErr != nil {
			break
		}
		if !accepted {
			continue
		}
		if err := x.writeEvent(answer, event); err != nil {
			return err
		}
		written = true
	}
	if !written {
		return orderErr
	}
	now := time.Now()
	if !x.lastRelayed.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastRelayed))
	}
	x.lastRelayed = now
	if err := controller.Flush(); err != nil {
		return &CallerWriteError{Cause: err}
	}
	return orderErr
}

// writeEvent writes one event. Errors: *CallerWriteError.
func (x *exchange) writeEvent(answer *connector.Answer, event []byte) error {
	if !x.headWritten {
		x.timeToFirstByte = time.Since(x.holderRequest.Arrived)
		if err := x.writeHead(answer, -1); err != nil {
			return err
		}
	}
	if _, err := x.w.Write(event); err != nil {
		return &CallerWriteError{Cause: err}
	}
	return nil
}
