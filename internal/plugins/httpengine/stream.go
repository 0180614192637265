package httpengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"coltsfootplank/internal/kernel"
)

const (
	// frameLimit bounds the length of one frame in bytes.
	frameLimit = 1 << 20
	// readBuffer is the first size of the buffer for frames in bytes.
	readBuffer = 4 << 10
	// rejectionRead bounds the part of an error answer that is read, in bytes.
	rejectionRead = 4 << 10
)

// MalformedFrameError reports a line that isn't a frame.
type MalformedFrameError struct {
	Reason string
}

func (e *MalformedFrameError) Error() string { return "read frame: " + e.Reason }

// stream reads frames, one JSON object a line. A frame of another stream is passed on, but doesn't end this one.
type stream struct {
	address  string
	streamID string
	body     io.ReadCloser
	reader   *bufio.Reader
	// end is returned by all calls after the last frame or the first error.
	end error
}

func newStream(address, streamID string, body io.ReadCloser) *stream {
	return &stream{address: address, streamID: streamID, body: body, reader: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next frame, io.EOF after the final one, or a *kernel.LostError.
func (s *stream) Next() (kernel.Frame, error) {
	if s.end != nil {
		return kernel.Frame{}, s.end
	}
	frame, err := s.read()
	if err != nil {
		s.end = &kernel.ConnectionLostError{Address: s.address, Cause: err}
		return kernel.Frame{}, s.end
	}
	if frame.Done && frame.StreamID == s.streamID {
		s.end = io.EOF
	}
	return frame, nil
}

// Close ends the connection. The engine goes on with the stream until it is cancelled.
func (s *stream) Close() error {
	return s.body.Close()
}

func (s *stream) read() (kernel.Frame, error) {
	line, err := s.line()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return kernel.Frame{}, err
	}
	var frame kernel.Frame
	if err := json.Unmarshal(line, &frame); err != nil {
		return kernel.Frame{}, &MalformedFrameError{Reason: err.Error()}
	}
	return frame, check(frame)
}

// line returns the next line. A last line without its end is cut off and therefore an error.
func (s *stream) line() ([]byte, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > frameLimit {
			return nil, &MalformedFrameError{Reason: fmt.Sprintf("longer than %d bytes", frameLimit)}
		}
	}
}

// check reports a frame whose fields contradict each other.
func check(frame kernel.Frame) error {
	switch {
	case frame.StreamID == "":
		return &MalformedFrameError{Reason: "stream_id is missing"}
	case frame.Index < 0 || frame.Total < 0 || frame.CachedTokens < 0:
		return &MalformedFrameError{Reason: "a number is negative"}
	case frame.Done && frame.Token != "":
		return &MalformedFrameError{Reason: "the final frame has a token"}
	case !frame.Done && frame.Total != 0:
		return &MalformedFrameError{Reason: "a frame that isn't final has a total"}
	}
	return nil
}
