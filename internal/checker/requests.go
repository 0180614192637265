package checker

import (
	"slices"

	"coltsfootplank/internal/recorder"
)

// scope identifies the requests that share an idempotency key of a workspace and work.
type scope struct {
	workspace, work, key string
}

func checkDispatchedOnce(history History, _ Bounds, verdict *Verdict) {
	runs := make(map[string]int)
	for _, run := range history.Runs {
		runs[run.RequestID]++
	}
	verdict.Cases = len(runs)
	for id, count := range runs {
		if count > 1 {
			verdict.addViolation("request %s ran %d times", id, count)
		}
	}
	// A dispatch that turned out to have sent nothing is followed by a Returned event and doesn't count.
	dispatches := make(map[string]int)
	for _, event := range history.Events {
		switch event.Kind {
		case recorder.Dispatched:
			dispatches[event.RequestID]++
		case recorder.Returned:
			dispatches[event.RequestID] = max(dispatches[event.RequestID]-1, 0)
		default:
		}
	}
	for id, count := range dispatches {
		if count > 1 {
			verdict.addViolation("request %s was dispatched %d times", id, count)
		}
	}
}

func checkWholeAnswers(history History, _ Bounds, verdict *Verdict) {
	for _, answer := range history.Answers {
		if answer.ForeignID != "" {
			verdict.addViolation("request %s received a part of the answer to %s", answer.RequestID, answer.ForeignID)
		}
		if !answer.Whole {
			checkIncomplete(answer, verdict)
			continue
		}
		verdict.Cases++
		if !answer.Stream {
			continue
		}
		if answer.Total != len(answer.Tokens) {
			verdict.addViolation("request %s: received %d tokens of %d but was marked as whole",
				answer.RequestID, len(answer.Tokens), answer.Total)
		}
		for want, got := range answer.Tokens {
			if want != got {
				verdict.addViolation("request %s: token %d at position %d", answer.RequestID, got, want)
				break
			}
		}
	}
}

// checkIncomplete checks how an answer ended that isn't whole.
func checkIncomplete(answer Answer, verdict *Verdict) {
	switch answer.Outcome {
	case "":
		// An answer without a request id comes from a refused connection.
		if answer.RequestID != "" && !answer.Cut {
			verdict.addViolation("request %s ended with neither a whole answer nor a refusal", answer.RequestID)
		}
	case "unknown", "failed":
	case "not_run":
		if len(answer.Tokens) > 0 {
			verdict.addViolation("request %s was refused as not run after %d tokens", answer.RequestID, len(answer.Tokens))
		}
	default:
		verdict.addViolation("request %s ended with the outcome %q", answer.RequestID, answer.Outcome)
	}
}

func checkNotRun(history History, _ Bounds, verdict *Verdict) {
	ran := make(map[string]string)
	for _, run := range history.Runs {
		ran[run.RequestID] = run.Upstream
	}
	for _, answer := range history.Answers {
		if answer.Outcome != "not_run" {
			continue
		}
		verdict.Cases++
		if upstream, ok := ran[answer.RequestID]; ok {
			verdict.addViolation("request %s was refused as not run (%s) but ran on %s", answer.RequestID, answer.Code, upstream)
		}
	}
}

func checkKeyedOnce(history History, _ Bounds, verdict *Verdict) {
	scopes := make(map[string]scope)
	for _, event := range history.Events {
		if event.Key != "" {
			scopes[event.RequestID] = scope{event.Workspace, event.Work, event.Key}
		}
	}
	for _, answer := range history.Answers {
		if answer.Key != "" {
			scopes[answer.RequestID] = scope{answer.Workspace, answer.Work, answer.Key}
		}
	}
	runs := make(map[scope][]string)
	for _, run := range history.Runs {
		if s, keyed := scopes[run.RequestID]; keyed {
			runs[s] = append(runs[s], run.RequestID)
		}
	}
	verdict.Cases = len(runs)
	for s, ids := range runs {
		if len(ids) > 1 {
			slices.Sort(ids)
			verdict.addViolation("key %s of %s/%s ran %d times: %v", s.key, s.workspace, s.work, len(ids), ids)
		}
	}
}
