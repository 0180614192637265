package generator

import (
	"context"
	"encoding/json"
	"net/http"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/hoster"
)

// frameWriter sends the frames of one connection, with the faults that are on.
type frameWriter struct {
	engine  *Engine
	stream  *stream
	encoder *json.Encoder
	control *http.ResponseController
	held    *kernel.Frame
}

// sendStream sends frames from a token index on until the final frame.
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
		produced, done, err := e.await(r.Context(), s, index)
		if err != nil || e.table.Wait(r.Context(), hoster.FaultFreeze) != nil {
			hoster.Abort()
		}
		for ; index < produced; index++ {
			writer.dropAt(index)
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

// await blocks until a stream has frame number index. It returns the number of tokens produced and whether the
// stream is done, or a *StreamEndedError.
func (e *Engine) await(ctx context.Context, s *stream, index int) (int, bool, error) {
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

// dropAt cuts the connection before a token if the fault asks for it, once for each stream.
func (w *frameWriter) dropAt(index int) {
	value, on := w.engine.table.Get(FaultDropAtToken)
	if !on || index < int(value.Or(0)) {
		return
	}
	w.engine.mu.Lock()
	dropped := w.stream.dropped
	w.stream.dropped = true
	w.engine.mu.Unlock()
	if !dropped {
		_ = w.control.Flush()
		hoster.Abort()
	}
}

// send writes one frame, or keeps it to write it after the next one.
func (w *frameWriter) send(frame kernel.Frame) error {
	table := w.engine.table
	if table.Hits(FaultForeignFrames) {
		foreign := frame
		foreign.StreamID = "foreign-" + frame.StreamID
		foreign.Token = "foreign "
		if err := w.encoder.Encode(foreign); err != nil {
			return err
		}
	}
	if w.held == nil && table.Hits(FaultReorderFrames) {
		w.held = &frame
		return nil
	}
	if err := w.encoder.Encode(frame); err != nil {
		return err
	}
	if table.Hits(FaultDuplicateFrames) {
		if err := w.encoder.Encode(frame); err != nil {
			return err
		}
	}
	return w.release()
}

// release writes the frame that was kept back.
func (w *frameWriter) release() error {
	if w.held == nil {
		return nil
	}
	frame := *w.held
	w.held = nil
	return w.encoder.Encode(frame)
}

// finish writes the final frame and marks the stream as delivered.
func (w *frameWriter) finish() {
	if w.release() != nil || w.encoder.Encode(w.stream.frame(w.stream.total)) != nil || w.control.Flush() != nil {
		return
	}
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	w.stream.delivered = true
}
