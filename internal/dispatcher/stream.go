package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"coltsfootplank/internal/kernel"
)

// Sink receives the tokens of one stream in order, each exactly once. An error means that the caller is gone.
type Sink func(frame kernel.Frame) error

// Observation is what a dispatch showed about the upstream.
type Observation struct {
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Total        time.Duration
	Resumes      int
}

// Settings bounds the waiting for an upstream.
type Settings struct {
	// IdleTimeout is how long a stream may stay silent before it is resumed.
	IdleTimeout time.Duration
	// ResumeAttempts bounds the resumes in a row that bring no token.
	ResumeAttempts int
	// ResumeDelay is the wait before the second and later resumes in a row.
	ResumeDelay time.Duration
	// CancelTimeout bounds the call that cancels a stream on the engine.
	CancelTimeout time.Duration
}

// DefaultSettings returns the settings for engines of today's size.
func DefaultSettings() Settings {
	return Settings{
		IdleTimeout:    10 * time.Second,
		ResumeAttempts: 5,
		ResumeDelay:    100 * time.Millisecond,
		CancelTimeout:  2 * time.Second,
	}
}

// Stream sends a prompt to an engine and passes its tokens to the sink until the final frame.
//
// Errors: *kernel.NotSentError if no byte was written, so the request may go elsewhere; *kernel.RejectedError if
// the engine answered with an error; *CallerGoneError; *TruncatedError for all else.
func Stream(
	ctx context.Context, engine kernel.EngineProtocol, request kernel.GenerateRequest, settings Settings, sink Sink,
) (Observation, error) {
	reader := &streamReader{
		engine: engine, request: request, settings: settings, sink: sink, started: time.Now(),
	}
	err := reader.run(ctx)
	reader.observation.OutputTokens = reader.next
	reader.observation.Total = time.Since(reader.started)
	var gone *CallerGoneError
	if errors.As(err, &gone) {
		reader.cancel(ctx)
	}
	return reader.observation, err
}

// streamReader reads one stream across resumes. next is the index of the next token to pass on.
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
		if r.final(ctx, err) {
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

// final says whether no resume can follow an error. Before the first resume, an error that proves that nothing
// was sent or run ends the dispatch; afterwards a refused connection only means that the engine is unreachable now.
func (r *streamReader) final(ctx context.Context, err error) bool {
	var gone *CallerGoneError
	var unknown *kernel.StreamUnknownError
	if ctx.Err() != nil || errors.As(err, &gone) || errors.As(err, &unknown) {
		return true
	}
	return r.observation.Resumes == 0 && (kernel.NotSent(err) || rejected(err))
}

func (r *streamReader) classify(ctx context.Context, err error) error {
	if r.observation.Resumes == 0 && kernel.NotSent(err) {
		return err
	}
	var gone *CallerGoneError
	if errors.As(err, &gone) {
		return err
	}
	if ctx.Err() != nil {
		return &CallerGoneError{StreamID: r.request.StreamID, Cause: context.Cause(ctx)}
	}
	if r.observation.Resumes == 0 && rejected(err) {
		return err
	}
	return &TruncatedError{StreamID: r.request.StreamID, Tokens: r.next, Cause: err}
}

// rejected says whether the engine answered a prompt with an error. An error status within a lost connection is the
// answer to something else.
func rejected(err error) bool {
	var lost *kernel.LostError
	var answer *kernel.RejectedError
	return !errors.As(err, &lost) && errors.As(err, &answer)
}

// attempt opens the stream and reads it to its end. A nil error means that the final frame arrived and every
// token was passed on.
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
	defer stream.Close() //nolint:errcheck // The stream is given up; there is nothing left to report.
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return &gapError{want: r.next, got: r.next}
		}
		if err != nil {
			return err
		}
		idle.Reset(r.settings.IdleTimeout)
		done, err := r.accept(frame)
		if done || err != nil {
			return err
		}
	}
}

// accept handles one frame: frames of other streams and repeated tokens are dropped, a gap is an error.
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

// cancel ends the stream on the engine so that it stops computing tokens that nobody reads.
func (r *streamReader) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), r.settings.CancelTimeout)
	defer stop()
	// A failed cancellation costs capacity only: the engine ends the stream at its token limit.
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
