package launcher

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestDesk guards against a run that the ledger doesn't record, and against a lost response that is reported as a
// request that wasn't sent.
func TestDesk(t *testing.T) {
	p := startPlatform(t)
	client := connect(t, kernel.Services, "httpservice", p.desks[0].Address())
	other := connect(t, kernel.Services, "httpservice", p.desks[1].Address())
	call := kernel.ServiceRequest{RequestID: "r", Method: http.MethodPost, Path: "/v1/deposits", Body: []byte("{}")}
	response, err := client.Call(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusOK)
	assert.Equal(t, len(p.Stats().Desks.DuplicateRequestIDs), 0)

	mustSetFault(t, p, "d-0", "cut_before_run", nil)
	_, err = client.Call(t.Context(), call)
	assert.Assert(t, isErrorType[*kernel.ConnectionLostError](err), "%v", err)
	assert.Equal(t, p.Stats().Desks.Runs, 1)
	mustSetFault(t, p, "d-1", "cut_before_answer", nil)
	call.Path = "deposits"
	_, err = other.Call(t.Context(), call)
	assert.Assert(t, isErrorType[*kernel.ConnectionLostError](err), "%v", err)
	assert.DeepEqual(t, p.Stats().Desks.DuplicateRequestIDs, []string{"r"})
	assert.Equal(t, len(p.Stats().Desks.DuplicateBodies), 1)
	mustSetFault(t, p, "desks", "crash", 200)
	_, err = client.Call(t.Context(), call)
	assert.Assert(t, isErrorType[*kernel.NotSentError](err), "%v", err)
}

// TestLog guards against log faults without their effect: an outage that stores records, a lost acknowledgement whose
// append isn't stored, a long poll that doesn't wait or isn't woken, and a read of trimmed records that looks
// complete.
func TestLog(t *testing.T) {
	p := startPlatform(t)
	client := connect(t, kernel.Logs, "httplog", p.log.Address())
	appendOne := func(data string) error {
		_, err := client.Append(t.Context(), "claims", []byte(data))
		return err
	}
	clearFault := func(fault string) {
		assert.NilError(t, p.directory.Clear("log", fault))
	}
	assert.NilError(t, appendOne("a"))
	mustSetFault(t, p, "log", "outage", nil)
	assert.Assert(t, isErrorType[*kernel.LogUnavailableError](appendOne("refused")))
	_, err := client.Read(t.Context(), "claims", 0, 10, 0)
	assert.Assert(t, isErrorType[*kernel.LogUnavailableError](err), "%v", err)
	clearFault("outage")
	mustSetFault(t, p, "log", "cut_before_append", nil)
	assert.Assert(t, isErrorType[*kernel.AppendOutcomeUnknownError](appendOne("cut")))
	clearFault("cut_before_append")
	mustSetFault(t, p, "log", "lose_append_answer", nil)
	assert.Assert(t, isErrorType[*kernel.AppendOutcomeUnknownError](appendOne("b")))
	clearFault("lose_append_answer")
	mustSetFault(t, p, "log", "late_append", 300)
	assert.Assert(t, isErrorType[*kernel.AppendOutcomeUnknownError](appendOne("c")))
	page, err := client.Read(t.Context(), "claims", 0, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 2)
	assert.Equal(t, string(page.Records[1].Data), "b")
	started := time.Now()
	page, err = client.Read(t.Context(), "claims", page.Next, 10, 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(started) < 4*time.Second, "the append did not wake the read")
	assert.Equal(t, string(page.Records[0].Data), "c")

	mustSetFault(t, p, "log", "trim", 1)
	_, err = client.Read(t.Context(), "claims", 0, 10, 0)
	var trimmed *kernel.TrimmedError
	assert.Assert(t, errors.As(err, &trimmed), "%v", err)
	assert.Equal(t, trimmed.First, int64(2))
	mustSetFault(t, p, "log", "rate", 0)
	clearFault("late_append")
	limited := false
	for range 1001 {
		limited = limited || isErrorType[*kernel.RateLimitedError](appendOne("x"))
	}
	assert.Assert(t, limited)
}

// TestVMListAndWeightStore guards against a VM list without its lag and a weight store without its rate limit.
func TestVMListAndWeightStore(t *testing.T) {
	p := startPlatform(t)
	list := connect(t, kernel.VMLists, "httpvmlist", p.vmList.Address())
	state := func() kernel.VMState {
		rows, err := list.VMs(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 4)
		for _, row := range rows {
			if row.Address == p.engines[0].Address() {
				return row.State
			}
		}
		return ""
	}
	mustSetFault(t, p, "e-0", "leaving", nil)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, state(), kernel.VMLive)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, state(), kernel.VMLeaving)

	store := connect(t, kernel.WeightStores, "httpweights", p.weights.Address())
	assert.NilError(t, store.Fetch(t.Context(), "m"))
	assert.Assert(t, isErrorType[*kernel.RateLimitedError](store.Fetch(t.Context(), "m")))
}

// TestControl guards against a misspelt fault or target that is accepted, so that a test runs without its fault.
func TestControl(t *testing.T) {
	p := startPlatform(t)
	cases := []struct{ target, fault, want string }{
		{target: "e-9", fault: "crash", want: `"code":"unknown_target"`},
		{target: "e-9", fault: "crash", want: `"e-0","e-1","engines"`},
		{target: "e-0", fault: "crush", want: `"code":"unknown_fault"`},
		{target: "e-0", fault: "crush", want: `"crash"`},
	}
	for _, c := range cases {
		status, text := setFault(t, p, c.target, c.fault, nil)
		assert.Equal(t, status, http.StatusNotFound)
		assert.Assert(t, strings.Contains(text, c.want), text)
	}
}

// controlCall sends a request to the control port and returns the body of a 2xx response.
func controlCall(t *testing.T, p *Platform, method, path, body string) string {
	t.Helper()
	url := "http://" + p.control.Address() + path
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode/100, 2, string(text))
	return string(text)
}

// TestControlRoutes guards against a control port that can't clear a fault, count the runs of a stream or add a VM.
func TestControlRoutes(t *testing.T) {
	p := startPlatform(t)
	mustSetFault(t, p, "e-0", "slow", 1)
	assert.Assert(t, strings.Contains(controlCall(t, p, http.MethodGet, "/control/faults", ""),
		`"active":[{"target":"e-0","fault":"slow","value":1,"left_ms":0}]`))
	controlCall(t, p, http.MethodDelete, "/control/faults?target=engines", "")
	assert.Assert(t, strings.Contains(controlCall(t, p, http.MethodGet, "/control/faults", ""), `"active":[]`))

	_, _, err := generate(t, engineClient(t, p, 0), "s")
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, controlCall(t, p, http.MethodGet, "/control/runs/s", ""), `{"runs":1}`+"\n")
	assert.Equal(t, controlCall(t, p, http.MethodGet, "/control/runs/t", ""), `{"runs":0}`+"\n")
	assert.Assert(t, strings.Contains(controlCall(t, p, http.MethodGet, "/control/stats", ""), `"prefill_computed":10`))

	list := connect(t, kernel.VMLists, "httpvmlist", p.vmList.Address())
	for _, state := range []string{"live", "leaving", "gone"} {
		controlCall(t, p, http.MethodPost, "/control/vms",
			`{"address":"127.0.0.1:9","data_centre":"a","role":"router","state":"`+state+`"}`)
		time.Sleep(400 * time.Millisecond)
		rows, err := list.VMs(t.Context())
		assert.NilError(t, err)
		i := slices.IndexFunc(rows, func(vm kernel.VM) bool { return vm.Role == "router" })
		assert.Equal(t, i < 0, state == "gone")
		if i >= 0 {
			assert.Equal(t, string(rows[i].State), state)
		}
	}
}
