package prover_test

import (
	"slices"
	"testing"
	"time"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/holder"
)

// breakResumes breaks off the streams of all engines after their first token and sets what their resumes get.
func breakResumes(mode resumeMode) func(*cluster, location) {
	return changeUpstreams(func(u *upstream) { u.answers, u.resumes = answersHalf, mode })
}

var endBrokenResumes = changeUpstreams(func(u *upstream) { u.answers, u.resumes = answersNormal, resumesNormal })

var resumeFaults = []fault{
	{name: "resume_fails", duration: 4 * time.Second, on: breakResumes(resumesFail), off: endBrokenResumes},
	{name: "resume_forgotten", duration: 4 * time.Second, on: breakResumes(resumesForgotten), off: endBrokenResumes},
	{name: "resume_ends", duration: 4 * time.Second, on: breakResumes(resumesEnd), off: endBrokenResumes},
}

// TestMatrixResume guards against a stream that ends as complete when it breaks off after the first token and the next
// attempt fails, too.
func TestMatrixResume(t *testing.T) {
	for _, s := range steps {
		if s.name != "first_token" && s.name != "mid_stream" {
			continue
		}
		for _, f := range resumeFaults {
			t.Run(s.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				inSubprocess(t, func(t *testing.T) {
					if !slices.ContainsFunc(runCell(t, s, f).Answers, isTruncated) {
						t.Error("no stream broke off after its first token")
					}
				})
			})
		}
	}
}

func isTruncated(answer checker.Answer) bool {
	return answer.Code == string(holder.CodeStreamTruncated) && len(answer.Tokens) > 0
}
