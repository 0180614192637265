package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"coltsfootplank/internal/kernel"
)

// Sink receives the tokens of one stream in order, each exactly once. An error means that the caller has disconnected.
type Sink func(frame kernel.Frame) error

// Observation contains the measurements of one dispatch.
type Observation struct {
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Total        time.Duration
	Resumes      int
	// Begun is set if the upstream sent more of its answer than the first event or token.
	Begun bool
}

// Settings contains the limits of a dispatch.
type Settings struct {
	// IdleTimeout is how long a stream may deliver no new token before it is resumed.
	IdleTimeout time.Duration
	// ResumeAttempts is the maximum number of consecutive resumes that deliver no token.
	ResumeAttempts int
	// ResumeDelay is the delay before a resume that follows a resume without a token.
	ResumeDelay time.Duration
	// CancelTimeout bounds the call that cancels a stream on the engine.
	CancelTimeout time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		IdleTimeout:    10 * time.Second,
		ResumeAttempts: 5,
		ResumeDelay:    100 * time.Millisecond,
		CancelTimeout:  2 * time.Second,
	}
}

// Stream sends a prompt to an engine and relays the tokens of the answer to the sink until the final frame.
//
// It returns a *kernel.NotSentError if no byte was written, so that the request can be sent to another upstream, a
// *kernel.RejectedError if the engine answered with an error, a *CallerGoneError if the caller disconnected, and a
// *TruncatedError for all other failures.
func Stream(
	ctx context.Context, engine kernel.EngineProtocol, request kernel.GenerateRequest, settings Settings, sink Sink,
) (Observation, error) {
	reader := &streamReader{
		engine: engine, request: request, settings: settings, sink: sink, started: time.Now(),
	}
	err := reader.run(ctx)
	reader.observation.OutputTokens = reader.next
	reader.observation.Begun = reader.next > 1
	reader.observation.Total = time.Since(reader.started)
	var callerGone *CallerGoneError
	if errors.As(err, &callerGone) {
		reader.cancel(ctx)
	}
	return reader.observation, err
}

// streamReader reads one stream, which may be resumed several times. next is the index of the next expected token.
type streamReader struct {
	engine      kernel.EngineProtocol
	request     kernel.GenerateRequest
	settings    Settings
	sink        Sink
	started     time.Time
	next        int
	observation Observation
}

func (r *streamReader) run(ctx context.Context) error {
	err := r.attempt(ctx, func(ctx context.Context) (kernel.TokenStream, error) {
		return r.engine.Generate(ctx, r.request)
	})
	failures := 0
	for err != nil {
		if r.isFinal(ctx, err) {
			return r.classify(ctx, err)
		}
		if failures >= r.settings.ResumeAttempts {
			return &TruncatedError{StreamID: r.request.StreamID, Tokens: r.next, Cause: err}
		}
		if failures > 0 && !sleep(ctx, r.settings.ResumeDelay) {
			return &CallerGoneError{StreamID: r.request.StreamID, Cause: context.Cause(ctx)}
		}
		before := r.next
		r.observation.Resumes++
		err = r.attempt(ctx, func(ctx context.Context) (kernel.TokenStream, error) {
			return r.engine.Resume(ctx, r.request.StreamID, before)
		})
		failures++
		if r.next > before {
			failures = 0
		}
	}
	return nil
}

// isFinal reports whether an error ends the dispatch without another resume. Before the first resume, this includes
// errors that prove that the prompt wasn't sent or run. After it, a refused connection only means that the engine is
// currently unreachable.
func (r *streamReader) isFinal(ctx context.Context, err error) bool {
	var callerGone *CallerGoneError
	var unknown *kernel.StreamUnknownError
	if ctx.Err() != nil || errors.As(err, &callerGone) || errors.As(err, &unknown) {
		return true
	}
	return r.observation.Resumes == 0 && (kernel.NotSent(err) || isRejection(err))
}

// classify maps a final error to the error that Stream returns.
func (r *streamReader) classify(ctx context.Context, err error) error {
	if r.observation.Resumes == 0 && kernel.NotSent(err) {
		return err
	}
	var callerGone *CallerGoneError
	if errors.As(err, &callerGone) {
		return err
	}
	if ctx.Err() != nil {
		return &CallerGoneError{StreamID: r.request.StreamID, Cause: context.Cause(ctx)}
	}
	if r.observation.Resumes == 0 && isRejection(err) {
		return err
	}
	return &TruncatedError{StreamID: r.request.StreamID, Tokens: r.next, Cause: err}
}

// isRejection reports whether the engine answered the prompt with an error. A RejectedError wrapped in a
// ConnectionLostError isn't the answer to the prompt.
func isRejection(err error) bool {
	var lost *kernel.ConnectionLostError
	var rejection *kernel.RejectedError
	return !errors.As(err, &lost) && errors.As(err, &rejection)
}

// attempt opens the stream and reads it to its end. It returns nil if the final frame arrived and every token was
// relayed.
func (r *streamReader) attempt(
	ctx context.Context, open func(context.Context) (kernel.TokenStream, error),
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(r.settings.IdleTimeout, func() {
		cancel(&idleError{seconds: r.settings.IdleTimeout.Seconds()})
	})
	defer idle.Stop()
	stream, err := open(ctx)
	if err != nil {
		return err
	}
	defer stream.Close() //nolint:errcheck // The result of the attempt is already known.
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return &gapError{want: r.next, got: r.next}
		}
		if err != nil {
			return err
		}
		if frame.StreamID == r.request.StreamID && frame.Index >= r.next {
			idle.Reset(r.settings.IdleTimeout)
		}
		done, err := r.accept(frame)
		if done || err != nil {
			return err
		}
	}
}

// accept processes one frame. It drops frames of other streams and repeated tokens, and returns a gapError for missing
// tokens. done is true after the final frame.
func (r *streamReader) accept(frame kernel.Frame) (done bool, err error) {
	if frame.StreamID != r.request.StreamID {
		return false, nil
	}
	if frame.Done {
		if frame.Total != r.next {
			return false, &gapError{want: r.next, got: frame.Total}
		}
		r.observation.CachedTokens = frame.CachedTokens
		return true, nil
	}
	if frame.Index < r.next {
		return false, nil
	}
	if frame.Index > r.next {
		return false, &gapError{want: r.next, got: frame.Index}
	}
	if r.next == 0 {
		r.observation.FirstToken = time.Since(r.started)
	}
	if err := r.sink(frame); err != nil {
		return false, &CallerGoneError{StreamID: r.request.StreamID, Cause: err}
	}
	r.next++
	return false, nil
}

// cancel ends the stream on the engine, so that it doesn't compute tokens that nobody reads.
func (r *streamReader) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), r.settings.CancelTimeout)
	defer stop()
	// A failed cancellation only wastes capacity: the engine ends the stream at its token limit.
	_ = r.engine.Cancel(ctx, r.request.StreamID)
}

// sleep waits for d and returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
