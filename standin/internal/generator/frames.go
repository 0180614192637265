package generator

import (
	"context"
	"encoding/json"
	"net/http"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/hoster"
)

// frameWriter writes the frames of a stream to one connection and applies the active faults to them.
type frameWriter struct {
	engine  *Engine
	stream  *stream
	encoder *json.Encoder
	control *http.ResponseController
	delayed *kernel.Frame
}

// sendStream writes the frames of a stream, from the given token index to the final frame.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	writer := &frameWriter{
		engine: e, stream: s, encoder: json.NewEncoder(w), control: http.NewResponseController(w),
	}
	if err := writer.control.Flush(); err != nil {
		return
	}
	for index := from; ; {
		produced, done, err := e.awaitFrame(r.Context(), s, index)
		if err != nil || e.table.Wait(r.Context(), hoster.FaultFreeze) != nil {
			hoster.Abort()
		}
		for ; index < produced; index++ {
			writer.dropConnectionAt(index)
			if writer.send(s.frame(index)) != nil {
				return
			}
		}
		if done {
			writer.finish()
			return
		}
		if writer.control.Flush() != nil {
			return
		}
	}
}

// awaitFrame blocks until a stream has the frame with the given index. It returns the number of tokens produced and
// whether the stream is done, or a *StreamEndedError.
func (e *Engine) awaitFrame(ctx context.Context, s *stream, index int) (int, bool, error) {
	for {
		e.mu.Lock()
		produced, done, ended, changed := s.produced, s.done, s.ended, s.changed
		e.mu.Unlock()
		if ended {
			return 0, false, &StreamEndedError{StreamID: s.request.StreamID}
		}
		if done || produced > index {
			return produced, done, nil
		}
		select {
		case <-ctx.Done():
			return 0, false, ctx.Err()
		case <-changed:
		}
	}
}

// dropConnectionAt closes the connection before the token with the given index if the fault drop_at_token is on and the
// index has reached its value, once for each stream.
func (w *frameWriter) dropConnectionAt(index int) {
	value, on := w.engine.table.Get(FaultDropAtToken)
	if !on || index < int(value.NumberOr(0)) {
		return
	}
	w.engine.mu.Lock()
	dropped := w.stream.connectionDropped
	w.stream.connectionDropped = true
	w.engine.mu.Unlock()
	if !dropped {
		_ = w.control.Flush()
		hoster.Abort()
	}
}

// send writes one frame, or delays it until the next one is written.
func (w *frameWriter) send(frame kernel.Frame) error {
	table := w.engine.table
	if table.Triggers(FaultForeignFrames) {
		foreign := frame
		foreign.StreamID = "foreign-" + frame.StreamID
		foreign.Token = "foreign "
		if err := w.encoder.Encode(foreign); err != nil {
			return err
		}
	}
	if w.delayed == nil && table.Triggers(FaultReorderFrames) {
		w.delayed = &frame
		return nil
	}
	if err := w.encoder.Encode(frame); err != nil {
		return err
	}
	if table.Triggers(FaultDuplicateFrames) {
		if err := w.encoder.Encode(frame); err != nil {
			return err
		}
	}
	return w.sendDelayed()
}

// sendDelayed writes the delayed frame, if any.
func (w *frameWriter) sendDelayed() error {
	if w.delayed == nil {
		return nil
	}
	frame := *w.delayed
	w.delayed = nil
	return w.encoder.Encode(frame)
}

// finish writes the final frame and marks the stream as delivered.
func (w *frameWriter) finish() {
	if w.sendDelayed() != nil || w.encoder.Encode(w.stream.frame(w.stream.total)) != nil || w.control.Flush() != nil {
		return
	}
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	w.stream.delivered = true
}
