package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"coltsfootplank/internal/holder"
)

// statusClientClosedRequest is nginx's status for a caller that has disconnected; it is only seen in logs.
const statusClientClosedRequest = 499

var statusByCode = map[holder.Code]int{
	holder.CodeUnauthorized:       http.StatusUnauthorized,
	holder.CodeUnknownEntry:       http.StatusNotFound,
	holder.CodeInvalidRequest:     http.StatusBadRequest,
	holder.CodeOverloaded:         http.StatusServiceUnavailable,
	holder.CodeDeadlineInfeasible: http.StatusServiceUnavailable,
	holder.CodeDeadlineExpired:    http.StatusGatewayTimeout,
	holder.CodeLimitExceeded:      http.StatusTooManyRequests,
	holder.CodePoison:             http.StatusUnprocessableEntity,
	holder.CodeDraining:           http.StatusServiceUnavailable,
	holder.CodeClaimUnavailable:   http.StatusServiceUnavailable,
	holder.CodeDuplicate:          http.StatusConflict,
	holder.CodeKeyTooOld:          http.StatusConflict,
	holder.CodeRetryBudget:        http.StatusTooManyRequests,
	holder.CodeUpstreamFailed:     http.StatusBadGateway,
	holder.CodeUpstreamLost:       http.StatusBadGateway,
	holder.CodeStreamTruncated:    http.StatusBadGateway,
	holder.CodeNoUpstream:         http.StatusServiceUnavailable,
	holder.CodeCallerGone:         statusClientClosedRequest,
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Outcome      holder.Outcome `json:"outcome"`
	Code         holder.Code    `json:"code"`
	Message      string         `json:"message"`
	RequestID    string         `json:"request_id,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

func newRefusalBody(requestID string, refusal *holder.Refusal) refusalBody {
	return refusalBody{Error: refusalDetail{
		Outcome: refusal.Outcome, Code: refusal.Code, Message: refusal.Message, RequestID: requestID,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}}
}

// writeRefusal writes a refusal as an HTTP status with a JSON body.
func writeRefusal(w http.ResponseWriter, requestID string, refusal *holder.Refusal) {
	status, ok := statusByCode[refusal.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if refusal.RetryAfter > 0 {
		seconds := int64(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	w.Header().Set(headerContentType, "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(newRefusalBody(requestID, refusal))
}

func invalidRequest(message string) *holder.Refusal {
	return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeInvalidRequest, Message: message}
}
