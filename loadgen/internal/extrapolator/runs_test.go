package extrapolator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMembershipRun guards against an episode that measures nothing, or on another clock than the detector's.
func TestMembershipRun(t *testing.T) {
	run, err := runMembership(t.Context(), 8)
	assert.NilError(t, err)
	// Each of 8 members sends a probe a second and gets an answer.
	assert.Assert(t, run.steady.messages >= 8*2*58 && run.steady.messages <= 8*2*62, "%+v", run.steady)
	assert.Assert(t, run.steady.bytes > 20*run.steady.messages, "%+v", run.steady)
	assert.Equal(t, run.falsely, 0)
	for _, e := range []episode{run.crash, run.centre, run.parted} {
		assert.Assert(t, e.seconds > 2 && e.seconds < 30 && e.messages > 0, "%+v", e)
	}
	assert.Assert(t, run.reunion.messages > 0 && run.replaced.messages > 0)
}

// TestTicketRun guards against traffic that is counted at one end only, or tickets that aren't granted.
func TestTicketRun(t *testing.T) {
	run, err := runTickets(t.Context(), 4, 100, 1)
	assert.NilError(t, err)
	// A ticket, a grant and a release hold the request id of 36 bytes each, and the ticket 8 prefix hashes.
	assert.Assert(t, run.bytes > run.requests*200, "%+v", run)
	assert.Assert(t, run.messages > run.requests*2, "%+v", run)
}

// TestLogRuns guards against claims, edits and orders that are timed without having reached their readers.
func TestLogRuns(t *testing.T) {
	claims, err := runClaims(t.Context(), 4, 100)
	assert.NilError(t, err)
	assert.Assert(t, claims.appends > 10 && claims.appends <= claimAppends*1.1, "%+v", claims)
	assert.Assert(t, claims.wait > 0)

	kept, err := runKept(t.Context(), 1000)
	assert.NilError(t, err)
	// The identifiers of a claim alone have more than 80 bytes.
	assert.Assert(t, kept.memory > 80*1000, "%+v", kept)

	catalogue, err := runCatalogue(t.Context(), 5)
	assert.NilError(t, err)
	assert.Assert(t, catalogue.bytes > 100 && catalogue.bytes < 1000, "%+v", catalogue)

	orders, err := runOrders(t.Context(), 5)
	assert.NilError(t, err)
	assert.Equal(t, orders.appends, 10.0)
	assert.Assert(t, orders.reports > 3 && orders.reports < 7, "%+v", orders)
}
