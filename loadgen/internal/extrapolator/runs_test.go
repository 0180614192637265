package extrapolator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMeasureMembership guards against phases that measure nothing, or that use another clock than the detector.
func TestMeasureMembership(t *testing.T) {
	run, err := measureMembership(t.Context(), 8)
	assert.NilError(t, err)
	// Each of the 8 members sends one probe per second and gets a response.
	assert.Assert(t, run.steady.messages >= 8*2*58 && run.steady.messages <= 8*2*62, "%+v", run.steady)
	assert.Assert(t, run.steady.bytes > 20*run.steady.messages, "%+v", run.steady)
	assert.Equal(t, run.notAlivePairs, 0)
	for _, phase := range []phaseCost{run.crash, run.dataCentreLoss, run.partition} {
		assert.Assert(t, phase.seconds > 2 && phase.seconds < 30 && phase.messages > 0, "%+v", phase)
	}
	assert.Assert(t, run.heal.messages > 0 && run.replacement.messages > 0)
}

// TestMeasureTickets guards against traffic that is counted in one direction only, and against tickets that aren't
// granted.
func TestMeasureTickets(t *testing.T) {
	run, err := measureTickets(t.Context(), 4, 100, 1)
	assert.NilError(t, err)
	// A ticket, a grant and a release each contain the request ID of 36 bytes, and the ticket has 8 prefix hashes.
	assert.Assert(t, run.bytes > run.requests*200, "%+v", run)
	assert.Assert(t, run.messages > run.requests*2, "%+v", run)
}

// TestMeasureClaimsEditsOrders guards against measurements that end before claims, edits and orders have reached their
// readers.
func TestMeasureClaimsEditsOrders(t *testing.T) {
	claims, err := measureClaims(t.Context(), 4, 100)
	assert.NilError(t, err)
	assert.Assert(t, claims.appends > 10 && claims.appends <= maxClaimAppends*1.1, "%+v", claims)
	assert.Assert(t, claims.latencyP95 > 0)

	replay, err := measureClaimReplay(t.Context(), 1000)
	assert.NilError(t, err)
	// The identifiers of a claim alone take more than 80 bytes.
	assert.Assert(t, replay.memory > 80*1000, "%+v", replay)

	catalogue, err := measureCatalogue(t.Context(), 5)
	assert.NilError(t, err)
	assert.Assert(t, catalogue.editBytes > 100 && catalogue.editBytes < 1000, "%+v", catalogue)

	orders, err := measureOrders(t.Context(), 5)
	assert.NilError(t, err)
	assert.Equal(t, orders.appends, 10.0)
	assert.Assert(t, orders.reportRate > 3 && orders.reportRate < 7, "%+v", orders)
}
