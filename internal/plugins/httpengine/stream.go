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
	// maxFrameBytes is the size limit of one frame.
	maxFrameBytes = 1 << 20
	// initialBufferBytes is the size of the read buffer; longer frames are put together from several reads.
	initialBufferBytes = 4 << 10
	// maxRejectionBytes is the number of bytes of an error answer that are read.
	maxRejectionBytes = 4 << 10
)

// MalformedFrameError reports a line that isn't a valid frame.
type MalformedFrameError struct {
	Reason string
}

func (e *MalformedFrameError) Error() string { return "read frame: " + e.Reason }

// stream reads a token stream, in which each line is a frame in JSON. It also returns frames of other streams, but a final
// frame of another stream doesn't end this one.
type stream struct {
	address  string
	streamID string
	body     io.ReadCloser
	reader   *bufio.Reader
	// end is the error that all calls after the final frame or the first error return.
	end error
}

func newStream(address, streamID string, body io.ReadCloser) *stream {
	return &stream{address: address, streamID: streamID, body: body, reader: bufio.NewReaderSize(body, initialBufferBytes)}
}

// Next returns the next frame. Errors: io.EOF after the final frame, *kernel.ConnectionLostError.
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

// Close closes the connection. The engine continues the stream until it is cancelled.
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
	return frame, validateFrame(frame)
}

// line returns the next line. A last line without a line end is truncated, which is an error.
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
		if len(line) > maxFrameBytes {
			return nil, &MalformedFrameError{Reason: fmt.Sprintf("longer than %d bytes", maxFrameBytes)}
		}
	}
}

// validateFrame returns an error if the fields of a frame are missing, negative or contradict each other.
func validateFrame(frame kernel.Frame) error {
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
