package admitter

import "bytes"

// head counts what a client has sent of one head. net/http asks for more bytes only while the head isn't finished, so that all
// bytes counted before the next read belong to it. The counts are therefore checked before a read, not after it.
type head struct {
	bytes, lines int
	// line is the number of bytes since the last line end.
	line int
	// longest is the longest line.
	longest int
}

// add counts the bytes of one read.
func (h *head) add(p []byte) {
	h.bytes += len(p)
	for {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.line += len(p)
			h.longest = max(h.longest, h.line)
			return
		}
		h.longest = max(h.longest, h.line+end)
		h.line = 0
		h.lines++
		p = p[end+1:]
	}
}

// exceeded returns the limit that an unfinished head exceeds, or "". The first line is the request line.
func (h *head) exceeded(bounds Bounds, published Published) Cause {
	limit := bounds.HeadBytes
	if published.HeadBytes > 0 {
		limit = min(limit, published.HeadBytes)
	}
	switch {
	case h.lines > bounds.Fields+1:
		return CauseFields
	case h.longest > bounds.LineBytes:
		return CauseLineBytes
	case h.bytes >= limit:
		return CauseHeadBytes
	}
	return ""
}
