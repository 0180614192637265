package forwarder

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// check judges the answer to a cell's request by the rules alone, on any route: a caller can use a stream that breaks off,
// but not one that is spoiled. An event without a valid id may be dropped or end the attempt. It returns what is wrong,
// or "".
func (c *cell) check(got result) string {
	for _, problem := range []string{c.checkSends(), c.checkAnswer(got), c.checkProgress(got)} {
		if problem != "" {
			return fmt.Sprintf("%s; got status %d, whole %t, %q after %d attempts", problem, got.status, got.whole, got.body, len(c.record))
		}
	}
	return ""
}

// checkSends checks that the request isn't sent to more upstreams than the route allows.
func (c *cell) checkSends() string {
	if len(c.record) > c.attempts {
		return "more attempts than the route allows: want at most " + strconv.Itoa(c.attempts)
	}
	for _, sent := range c.record[:max(0, len(c.record)-1)] {
		if !c.resumable && !sent.reply.notRun {
			return "sent again although it may have run: want one attempt"
		}
	}
	return ""
}

// mayHaveRun reports whether an upstream may have run the request.
func (c *cell) mayHaveRun() bool {
	return slices.ContainsFunc(c.record, func(sent sentAttempt) bool { return !sent.reply.notRun })
}

func (c *cell) checkAnswer(got result) string {
	switch {
	case len(c.record) == 0:
		return "no attempt: want at least one"
	case got.surplus:
		return "bytes after the answer: want none"
	case got.status == 0:
		return "connection closed without an answer: want a status"
	case got.status == http.StatusOK && strings.HasPrefix(got.header.Get("Content-Type"), "text/event-stream"):
		return c.checkStream(got)
	case !got.whole:
		return "answer that isn't a stream breaks off: want it complete"
	case got.header.Get("Signature") != "":
		return c.checkRelayed(got)
	}
	return c.checkOwn(got)
}

// checkStream checks that the body has the events after the caller's position, each once and in order, and that it is
// complete only if the last attempt ended directly after the last of them.
func (c *cell) checkStream(got result) string {
	runs, rest := c.parse(got.body)
	id := c.after + len(runs)
	switch isPart := c.isPartOf(rest, id+1); {
	case isPart && got.whole:
		return fmt.Sprintf("part of an event framed as complete: want no more than event %d, got %q", id, rest)
	case rest != "" && !isPart:
		return fmt.Sprintf("bytes that aren't the next event: want event %d of one run, got %q", id+1, rest)
	}
	if problem := c.checkPositions(runs); problem != "" {
		return problem
	}
	for _, run := range runs {
		if sent := c.record[run-1]; sent.reply.startsOver(sent.attempt.after) {
			return fmt.Sprintf("events of a run that starts over: want none of run %d", run)
		}
	}
	// The head is that of the first attempt that had an event, or of a last one that is complete without any.
	if want := signature(append(runs, len(c.record))[0]); (got.whole || len(runs) > 0) && got.header.Get("Signature") != want {
		return fmt.Sprintf("signature of another run: want %s, got %s", want, got.header.Get("Signature"))
	}
	if !got.whole {
		return ""
	}
	last := c.record[len(c.record)-1]
	if !last.reply.stream || !last.reply.complete {
		return "broken stream framed as complete: want it broken off like the last attempt"
	}
	if end := max(c.after, last.attempt.after, slices.Max(append(last.reply.ids, 0))); id != end {
		return fmt.Sprintf("short stream framed as complete: want events up to %d, got them up to %d", end, id)
	}
	return ""
}

// parse returns the run of each event at the start of a body that continues the events before it, and the rest.
func (c *cell) parse(body string) (runs []int, rest string) {
	run := 1
	for id := c.after + 1; ; id++ {
		run = c.runOf(body, id, run)
		if run == 0 {
			return runs, body
		}
		runs, body = append(runs, run), body[len(eventText(run, id)):]
	}
}

// checkPositions checks that each attempt resumes after the last event that was relayed before it, so that the runs of a
// stream are joined only there.
func (c *cell) checkPositions(runs []int) string {
	for i, sent := range c.record {
		relayed := c.after
		for _, run := range runs {
			if run <= i {
				relayed++
			}
		}
		want := ""
		if relayed > 0 {
			want = strconv.Itoa(relayed)
		}
		if sent.position != want {
			return fmt.Sprintf("wrong resume position: attempt %d resumes after %q, want %q", i+1, sent.position, want)
		}
	}
	return ""
}

// runOf returns the run, from the given one on, whose event with an id is at the start of a text, or 0.
func (c *cell) runOf(text string, id, from int) int {
	for run := from; run <= len(c.record); run++ {
		if c.record[run-1].reply.stream && strings.HasPrefix(text, eventText(run, id)) {
			return run
		}
	}
	return 0
}

// isPartOf reports whether a text is the beginning of an event of the last attempt. A caller drops such an event.
func (c *cell) isPartOf(text string, id int) bool {
	return text != "" && strings.HasPrefix(eventText(len(c.record), id), text)
}

// checkRelayed checks that an upstream's answer is relayed unchanged, and only that of the last attempt.
func (c *cell) checkRelayed(got result) string {
	last := c.record[len(c.record)-1]
	want := last.reply
	if !want.signed || want.encoded || want.status != got.status || want.body != got.body || got.header.Get("Signature") != signature(last.attempt.run) {
		return fmt.Sprintf("relayed answer: want that of the last attempt, status %d, signed %t, %q", want.status, want.signed, want.body)
	}
	return ""
}

// checkOwn checks a status of the router's own. 408, 421, 429 and 503 promise that the request was not run, and no other
// status below 500 is true for a valid request.
func (c *cell) checkOwn(got result) string {
	switch got.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if c.mayHaveRun() {
			return "unsigned promise that the request was not run: want 502, since it may have run"
		}
		return ""
	}
	if got.status < http.StatusInternalServerError {
		return "unsigned status below 500: want 502, since no upstream vouches for it"
	}
	return ""
}

// checkProgress checks that the request is answered with the complete stream if its attempts allow it.
func (c *cell) checkProgress(got result) string {
	end, ok := c.completeEnd()
	if !ok {
		return ""
	}
	if got.status != http.StatusOK || !got.whole {
		return fmt.Sprintf("not completed: want events %d to %d, since an attempt that is left has them", c.after+1, end)
	}
	if runs, _ := c.parse(got.body); len(runs) < end-c.after {
		return fmt.Sprintf("events missing: want %d to %d", c.after+1, end)
	}
	return ""
}

// completeEnd returns the last event of the answer if a router that uses each attempt as far as it is usable completes
// it, and false if it can't or if a final answer without events is also right.
func (c *cell) completeEnd() (int, bool) {
	id := c.after
	for i, fault := range c.replies[:min(c.attempts, len(c.replies))] {
		r := fault.reply(sentRequest{requestID: c.requestID, run: i + 1, after: id, last: c.last()})
		if r.stream {
			var complete bool
			if id, complete = r.follow(id); complete {
				return id, true
			}
		}
		if !r.stream && id == c.after && c.isFinal(r) || !c.resumable && !r.notRun {
			return 0, false
		}
	}
	return 0, false
}

// isFinal reports whether an answer that isn't a stream may be relayed or refused in place of another attempt, as long
// as no event was relayed. A failure of the upstream or a request that it did not run isn't final if attempts are left.
func (c *cell) isFinal(r reply) bool {
	failed := r.status == 0 || r.status >= http.StatusInternalServerError || r.status == http.StatusOK && (!r.signed || r.encoded)
	promised := r.notRun && (r.status == http.StatusRequestTimeout || r.status == http.StatusMisdirectedRequest || r.status == http.StatusTooManyRequests)
	return !failed && !promised
}

// startsOver reports whether a stream begins with its first event, although the caller has events: it is another run than
// theirs and doesn't continue them.
func (r reply) startsOver(id int) bool { return id > 0 && len(r.ids) > 0 && r.ids[0] == 1 }

// follow returns the last event up to which a stream continues a caller's events, and whether it ends as complete there.
// Events that the caller has are dropped at the start of the stream; later they spoil it, like a gap.
func (r reply) follow(id int) (int, bool) {
	if r.startsOver(id) {
		return id, false
	}
	started := false
	for _, next := range r.ids {
		switch {
		case next == id+1:
			id, started = next, true
		case next == 0 || next > id+1 || started:
			return id, false
		}
	}
	return id, r.complete
}
