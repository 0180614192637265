package connector

import "bytes"

// scannedLineBytes is the length of the part of a line that a HeadScanner keeps. It holds the version and the status.
const scannedLineBytes = 32

// HeadScanner looks for continued lines in the head of an answer and the interim answers before it. net/http joins such a
// line with the one before. If the name of a field begins with a blank, the field becomes a part of another field's value,
// and the answer may lose its length or its framing.
type HeadScanner struct {
	// line holds the first size bytes of the present line.
	line [scannedLineBytes]byte
	size int
	// inFields is set after the status line, interim if that belongs to an interim answer.
	inFields, interim bool
	ended, continued  bool
}

// Scan looks at the next bytes of an answer. It ignores those that follow the head.
func (s *HeadScanner) Scan(data []byte) {
	for len(data) > 0 && !s.ended {
		part, rest, whole := bytes.Cut(data, []byte("\n"))
		s.size += copy(s.line[s.size:], part)
		if whole {
			s.endLine()
		}
		data = rest
	}
}

// Continued reports whether a line that was scanned continues the one before.
func (s *HeadScanner) Continued() bool { return s.continued }

func (s *HeadScanner) endLine() {
	line := bytes.TrimSuffix(s.line[:s.size], []byte("\r"))
	s.size = 0
	switch {
	case !s.inFields:
		_, status, _ := bytes.Cut(line, []byte(" "))
		status = bytes.TrimLeft(status, " ")
		// net/http accepts any number of spaces before the status, so that it may follow the part that is kept.
		s.inFields, s.interim = true, len(status) == 0 || status[0] == '1'
	case len(line) == 0:
		s.inFields, s.ended = false, !s.interim
	case line[0] == ' ' || line[0] == '\t':
		s.continued = true
	}
}
