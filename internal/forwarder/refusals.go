package forwarder

import (
	"net/http"
	"strconv"

	"coltsfootplank/internal/holder"
)

// statuses of refusals of requests that were not run and never will be.
var statuses = map[holder.Code]int{
	holder.CodeUnauthorized:      http.StatusUnauthorized,
	holder.CodeUnknownEntry:      http.StatusNotFound,
	holder.CodeInvalidRequest:    http.StatusBadRequest,
	holder.CodeTooLarge:          http.StatusRequestEntityTooLarge,
	holder.CodeAllowanceExceeded: http.StatusTooManyRequests,
	holder.CodeLimitExceeded:     http.StatusTooManyRequests,
}

// status maps a refusal to an HTTP status. 503 promises that the request has not run, 502 and 504 promise nothing.
func status(refusal *holder.Refusal) int {
	if refusal.Outcome == holder.OutcomeNotRun {
		if code, ok := statuses[refusal.Code]; ok {
			return code
		}
		return http.StatusServiceUnavailable
	}
	if refusal.Code == holder.CodeDeadlineExpired {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeRefusal answers with a refusal. Retry-After has a fraction, since most waits are shorter than a second.
func writeRefusal(w http.ResponseWriter, refusal *holder.Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := string(refusal.Code) + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status(refusal))
	// An error means that the caller is gone.
	_, _ = w.Write([]byte(body))
}
