package forwarder

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// sequenceCase is a stream whose attempts send events that don't all continue those before.
type sequenceCase struct {
	name string
	// after is the caller's position, "" if it has none.
	after   string
	answers []string
	body    string
	whole   bool
	sends   int
}

// checkSequences sends one request for each case to a resumable route with two attempts.
func checkSequences(t *testing.T, cases []sequenceCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, c.answers...)
			base, server := startTestForwarder(t, configWithRoute(resumableRoute(), 2), u)
			header := map[string]string{"Id": "1", "Key": "k"}
			if c.after != "" {
				header["After"] = c.after
			}
			_, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", header)
			assert.Equal(t, body, c.body)
			assert.Equal(t, whole, c.whole)
			assert.Equal(t, server.sends, c.sends)
		})
	}
}

// TestEventsOutOfOrder guards against relaying an event again after a newer one of the same attempt.
func TestEventsOutOfOrder(t *testing.T) {
	rest := streamHead + event("3") + lastChunk
	checkSequences(t, []sequenceCase{
		{"back by one", "", []string{streamHead + event("1") + event("2") + event("1") + lastChunk, rest}, "id: 1\n\nid: 2\n\nid: 3\n\n", true, 2},
		{"in one read", "", []string{streamHead + chunk("id: 1\n\nid: 2\n\n") + event("2") + lastChunk, rest}, "id: 1\n\nid: 2\n\nid: 3\n\n", true, 2},
		{"no attempt left", "", []string{
			streamHead + event("1") + event("2") + "RESET", streamHead + event("2") + event("3") + event("2") + event("4") + lastChunk,
		}, "id: 1\n\nid: 2\n\nid: 3\n\n", false, 2},
	})
}

// TestKnownEventsAtCallersResume guards against relaying events that a caller already has when it resumes a stream itself.
func TestKnownEventsAtCallersResume(t *testing.T) {
	checkSequences(t, []sequenceCase{
		{"last event repeated", "7", []string{streamHead + event("7") + event("8") + lastChunk}, "id: 8\n\n", true, 1},
		{"two events repeated by the next attempt", "7", []string{
			streamHead + "RESET", streamHead + event("6") + event("7") + event("8") + lastChunk,
		}, "id: 8\n\n", true, 2},
	})
}

// TestRunsJoined guards against joining the events of a run that starts over to those of the run before.
func TestRunsJoined(t *testing.T) {
	startedOver := streamHead + event("1") + event("2") + event("3") + lastChunk
	checkSequences(t, []sequenceCase{
		{"resume", "", []string{streamHead + event("1") + event("2") + "RESET", startedOver}, "id: 1\n\nid: 2\n\n", false, 2},
		{"after the first event", "", []string{streamHead + event("1") + "RESET", startedOver}, "id: 1\n\n", false, 2},
		{"another first id", "", []string{streamHead + event("5") + event("6") + "RESET", streamHead + event("5") + event("6") + lastChunk},
			"id: 5\n\nid: 6\n\n", false, 2},
		{"caller's resume", "2", []string{startedOver, streamHead + event("3") + lastChunk}, "id: 3\n\n", true, 2},
		{"caller's resume, no attempt left", "2", []string{startedOver, startedOver}, "upstream_lost\n", true, 2},
	})
}

// TestEndBeforeCallersPosition guards against taking the end of an attempt that ends before the last event that the caller
// has for the end of the stream.
func TestEndBeforeCallersPosition(t *testing.T) {
	begun := streamHead + event("1") + event("2") + event("3") + "RESET"
	checkSequences(t, []sequenceCase{
		{"resume", "", []string{begun, streamHead + event("2") + lastChunk}, "id: 1\n\nid: 2\n\nid: 3\n\n", false, 2},
		{"caller's resume", "7", []string{streamHead + event("6") + lastChunk, streamHead + event("8") + lastChunk}, "id: 8\n\n", true, 2},
		{"last event repeated", "", []string{begun, streamHead + event("3") + lastChunk}, "id: 1\n\nid: 2\n\nid: 3\n\n", true, 2},
	})
}

// TestMissingEvents guards against a stream that goes on after a gap, which its caller takes for complete.
func TestMissingEvents(t *testing.T) {
	begun := streamHead + event("1") + "RESET"
	checkSequences(t, []sequenceCase{
		{"at a resume", "", []string{begun, streamHead + event("3") + lastChunk}, "id: 1\n\n", false, 2},
		{"within an attempt", "", []string{streamHead + event("1") + event("3") + lastChunk, streamHead + event("2") + lastChunk},
			"id: 1\n\nid: 2\n\n", true, 2},
		{"after the caller's position", "7", []string{streamHead + event("9") + lastChunk, streamHead + event("8") + lastChunk}, "id: 8\n\n", true, 2},
		{"ids that only increase", "", []string{streamHead + event("5") + event("8") + "RESET", streamHead + event("9") + lastChunk},
			"id: 5\n\nid: 8\n\nid: 9\n\n", true, 2},
	})
}

// TestEventsWithoutNumber guards against events whose place in the stream isn't known, and against resuming after them,
// which would start over.
func TestEventsWithoutNumber(t *testing.T) {
	rest := streamHead + event("2") + lastChunk
	checkSequences(t, []sequenceCase{
		{"no id", "", []string{streamHead + event("1") + chunk("data: x\n\n") + lastChunk, rest}, "id: 1\n\nid: 2\n\n", true, 2},
		{"not a number", "", []string{streamHead + event("1") + event("x2") + lastChunk, rest}, "id: 1\n\nid: 2\n\n", true, 2},
		{"negative", "", []string{streamHead + event("1") + event("-1") + lastChunk, rest}, "id: 1\n\nid: 2\n\n", true, 2},
		{"caller's position", "1", []string{streamHead + chunk("data: x\n\n") + lastChunk, rest}, "id: 2\n\n", true, 2},
		{"no ids at all", "", []string{streamHead + chunk("data: x\n\n") + lastChunk}, "data: x\n\n", true, 1},
		{"broken without ids", "", []string{streamHead + chunk("data: x\n\n") + "RESET", rest}, "data: x\n\n", false, 1},
		{"no field of an event", "", []string{streamHead + chunk("x\n\n") + lastChunk, streamHead + event("1") + lastChunk}, "id: 1\n\n", true, 2},
		{"comment", "", []string{streamHead + event("1") + chunk(": wait\n\n") + lastChunk}, "id: 1\n\n: wait\n\n", true, 1},
	})
}
