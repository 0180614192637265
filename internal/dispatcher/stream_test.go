package dispatcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

const streamID = "s"

// script is what the fake engine delivers on one connection: the frames and then the error in the field end, or io.EOF
// if end is nil. If hang is set, the connection stays open and silent after the frames. If openErr is set, no
// connection is opened.
type script struct {
	openErr       error
	frames        []kernel.Frame
	end           error
	hang          bool
	frameInterval time.Duration
}

// fakeEngine uses one script for each connection, and records prompts, resumes and cancellations.
type fakeEngine struct {
	kernel.EngineProtocol
	scripts   []script
	prompts   int
	resumes   []int
	cancelled bool
}

func (e *fakeEngine) connect(ctx context.Context) (kernel.TokenStream, error) {
	if len(e.scripts) == 0 {
		return nil, &kernel.StreamUnknownError{StreamID: streamID}
	}
	next := e.scripts[0]
	e.scripts = e.scripts[1:]
	if next.openErr != nil {
		return nil, next.openErr
	}
	return &fakeStream{ctx: ctx, script: next}, nil
}

func (e *fakeEngine) Generate(ctx context.Context, _ kernel.GenerateRequest) (kernel.TokenStream, error) {
	e.prompts++
	return e.connect(ctx)
}

func (e *fakeEngine) Resume(ctx context.Context, _ string, from int) (kernel.TokenStream, error) {
	e.resumes = append(e.resumes, from)
	return e.connect(ctx)
}

func (e *fakeEngine) Cancel(context.Context, string) error {
	e.cancelled = true
	return nil
}

type fakeStream struct {
	ctx    context.Context
	script script
}

func (s *fakeStream) Next() (kernel.Frame, error) {
	if len(s.script.frames) > 0 {
		if !sleep(s.ctx, s.script.frameInterval) {
			return kernel.Frame{}, &kernel.ConnectionLostError{Cause: context.Cause(s.ctx)}
		}
		frame := s.script.frames[0]
		s.script.frames = s.script.frames[1:]
		return frame, nil
	}
	if s.script.hang {
		<-s.ctx.Done()
		return kernel.Frame{}, &kernel.ConnectionLostError{Cause: context.Cause(s.ctx)}
	}
	if s.script.end != nil {
		return kernel.Frame{}, s.script.end
	}
	return kernel.Frame{}, io.EOF
}

func (s *fakeStream) Close() error { return nil }

func token(index int) kernel.Frame { return kernel.Frame{StreamID: streamID, Index: index, Token: "t"} }

func finalFrame(total int) kernel.Frame {
	return kernel.Frame{StreamID: streamID, Done: true, Total: total}
}

// TestStream guards against a stream that drops, repeats or reorders a token, accepts a token of another stream or is
// reported as complete when it is truncated, and against a prompt that is sent twice.
func TestStream(t *testing.T) {
	lost := &kernel.ConnectionLostError{Cause: io.ErrUnexpectedEOF}
	foreign := kernel.Frame{StreamID: "other", Index: 1, Token: "x"}
	var notSent *kernel.NotSentError
	var rejected *kernel.RejectedError
	var truncated *TruncatedError
	cases := []struct {
		name    string
		scripts []script
		tokens  int
		resumes []int
		wantErr any
	}{
		{"whole", []script{{frames: []kernel.Frame{token(0), token(1), finalFrame(2)}}}, 2, nil, nil},
		{"repeated token", []script{{frames: []kernel.Frame{token(0), token(0), token(1), finalFrame(2)}}}, 2, nil, nil},
		{"foreign token", []script{{frames: []kernel.Frame{token(0), foreign, token(1), finalFrame(2)}}}, 2, nil, nil},
		{"disconnected and resumed", []script{
			{frames: []kernel.Frame{token(0)}, end: lost}, {frames: []kernel.Frame{token(1), finalFrame(2)}},
		}, 2, []int{1}, nil},
		{"end of file before the final frame", []script{
			{frames: []kernel.Frame{token(0)}}, {frames: []kernel.Frame{token(1), finalFrame(2)}},
		}, 2, []int{1}, nil},
		{"out of order", []script{
			{frames: []kernel.Frame{token(0), token(2), token(1)}}, {frames: []kernel.Frame{token(1), token(2), finalFrame(3)}},
		}, 3, []int{1}, nil},
		{"final frame with too large a total", []script{
			{frames: []kernel.Frame{token(0), finalFrame(2)}}, {frames: []kernel.Frame{token(1), finalFrame(2)}},
		}, 2, []int{1}, nil},
		{"lost before the first token", []script{{openErr: lost}, {frames: []kernel.Frame{token(0), finalFrame(1)}}}, 1, []int{0}, nil},
		{"engine gone", []script{{frames: []kernel.Frame{token(0)}, end: lost}}, 1, []int{1}, &truncated},
		{"not sent", []script{{openErr: &kernel.NotSentError{Cause: io.EOF}}}, 0, nil, &notSent},
		{"rejected", []script{{openErr: &kernel.RejectedError{Status: 409}}}, 0, nil, &rejected},
		{"refused connection on resume", []script{
			{frames: []kernel.Frame{token(0)}, end: lost}, {openErr: &kernel.NotSentError{Cause: io.EOF}},
			{frames: []kernel.Frame{token(1), finalFrame(2)}},
		}, 2, []int{1, 1}, nil},
		{"silence, then resumed", []script{
			{frames: []kernel.Frame{token(0)}, hang: true}, {frames: []kernel.Frame{token(1), finalFrame(2)}},
		}, 2, []int{1}, nil},
		{"only repeated and foreign tokens, then resumed", []script{
			{frames: []kernel.Frame{token(0), token(0), foreign, token(0), token(1), finalFrame(2)}, frameInterval: 6 * time.Second},
			{frames: []kernel.Frame{token(1), finalFrame(2)}},
		}, 2, []int{1}, nil},
		{"slow but alive", []script{
			{frames: []kernel.Frame{token(0), token(1), token(2), finalFrame(3)}, frameInterval: 6 * time.Second},
		}, 3, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &fakeEngine{scripts: c.scripts}
				var got []int
				observation, err := Stream(t.Context(), engine, kernel.GenerateRequest{StreamID: streamID}, DefaultSettings(),
					func(frame kernel.Frame) error {
						assert.Equal(t, frame.StreamID, streamID)
						got = append(got, frame.Index)
						return nil
					})
				if c.wantErr == nil {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, errors.As(err, c.wantErr), "%v", err)
				}
				assert.Equal(t, engine.prompts, 1)
				assert.Equal(t, len(got), c.tokens)
				for want, index := range got {
					assert.Equal(t, index, want)
				}
				assert.Equal(t, observation.OutputTokens, c.tokens)
				assert.DeepEqual(t, engine.resumes, c.resumes)
			})
		})
	}
}

// TestStreamCallerGone guards against an engine that continues to compute for a caller that has disconnected.
func TestStreamCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		engine := &fakeEngine{scripts: []script{{frames: []kernel.Frame{token(0)}, hang: true}}}
		_, err := Stream(ctx, engine, kernel.GenerateRequest{StreamID: streamID}, DefaultSettings(),
			func(kernel.Frame) error { return nil })
		var gone *CallerGoneError
		assert.Assert(t, errors.As(err, &gone), "%v", err)
		assert.Assert(t, engine.cancelled)
		assert.Equal(t, len(engine.resumes), 0)
	})
}

// TestStreamAttemptsBounded guards against endless resumes on an engine that never delivers a token.
func TestStreamAttemptsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := &kernel.ConnectionLostError{Cause: io.ErrUnexpectedEOF}
		engine := &fakeEngine{}
		for range 50 {
			engine.scripts = append(engine.scripts, script{openErr: lost})
		}
		_, err := Stream(t.Context(), engine, kernel.GenerateRequest{StreamID: streamID}, DefaultSettings(),
			func(kernel.Frame) error { return nil })
		var truncated *TruncatedError
		assert.Assert(t, errors.As(err, &truncated), "%v", err)
		assert.Equal(t, len(engine.resumes), DefaultSettings().ResumeAttempts)
	})
}
