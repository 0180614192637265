package booker

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDuplicates guards against a repeated run that isn't reported, and against reporting repeated GET requests.
func TestDuplicates(t *testing.T) {
	ledger := NewLedger()
	for _, run := range []Run{
		{RequestID: "1", Method: http.MethodPost, Path: "/v1/deposits", BodyHash: "x"},
		{RequestID: "1", Method: http.MethodPost, Path: "/v1/deposits", BodyHash: "x", Desk: "other"},
		{RequestID: "2", Method: http.MethodPost, Path: "/v1/deposits", BodyHash: "y"},
		{RequestID: "3", Method: http.MethodPost, Path: "/v1/bookings", BodyHash: "y"},
		{RequestID: "4", Method: http.MethodGet, Path: "/v1/status"},
		{RequestID: "4", Method: http.MethodGet, Path: "/v1/status"},
	} {
		ledger.Add(run)
	}
	report := ledger.Report()
	assert.Equal(t, len(report.Runs), 6)
	assert.DeepEqual(t, report.DuplicateRequestIDs, []string{"1"})
	assert.DeepEqual(t, report.DuplicateBodies, []string{"/v1/deposits x"})
}
