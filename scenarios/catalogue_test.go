package scenarios

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/protocol"
)

const memberAlive = int(protocol.MemberState_MEMBER_STATE_ALIVE)

// applyOutcomes holds the outcomes of "routerctl catalogue apply", indexed by exit code.
var applyOutcomes = []string{"accepted", "failure", "usage", "conflict", "validation", "unavailable", "unknown"}

// applyEdit runs "routerctl catalogue apply", records the edit if it was accepted, and returns its outcome.
func (s *scenario) applyEdit(router, file, base string) (string, error) {
	path, err := s.render(file, router)
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(s.ctx, filepath.Join(programDirectory, "routerctl"),
		"--admin", address(s.routerPort(portAdmin, router)), "catalogue", "apply", path, "--base", base, "--editor", router)
	err = cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", Error.Wrap(err)
	}
	outcome := applyOutcomes[cmd.ProcessState.ExitCode()]
	if outcome != "accepted" {
		return outcome, nil
	}
	acceptedAt := time.Now()
	text, err := os.ReadFile(path)
	if err != nil {
		return "", Error.Wrap(err)
	}
	contentDigest, err := catalogueDigest(string(text))
	if err != nil {
		return "", err
	}
	revision, err := strconv.ParseUint(base, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Accepted = append(s.history.Accepted,
		checker.Accepted{At: acceptedAt, Revision: revision + 1, Digest: contentDigest})
	return outcome, Error.Wrap(err)
}

// applyCatalogue implements the command "apply ROUTER FILE BASE OUTCOME". A router that is starting and has not read the
// log to its end rejects an edit as unavailable and changes nothing, so such an edit is repeated.
func applyCatalogue(s *scenario, ts *testscript.TestScript, args []string) {
	outcome := ""
	s.requireWithin(ts, startTimeout, "an edit with the outcome "+args[3], func() bool {
		var err error
		outcome, err = s.applyEdit(args[0], args[1], args[2])
		ts.Check(err)
		return outcome != "unavailable" || args[3] == "unavailable"
	})
	if outcome != args[3] {
		ts.Fatalf("the edit's outcome is %s, not %s", outcome, args[3])
	}
}

// raceCatalogue implements the command "race BASE ROUTER FILE ROUTER FILE", which applies two edits concurrently and
// requires that exactly one is accepted.
func raceCatalogue(s *scenario, ts *testscript.TestScript, args []string) {
	outcomes := make([]string, 2)
	var group errgroup.Group
	for i := range outcomes {
		group.Go(func() error {
			var err error
			outcomes[i], err = s.applyEdit(args[1+2*i], args[2+2*i], args[0])
			return err
		})
	}
	ts.Check(group.Wait())
	slices.Sort(outcomes)
	if !slices.Equal(outcomes, []string{"accepted", "conflict"}) {
		ts.Fatalf("the outcomes of the concurrent edits are %v, not one accepted and one conflict", outcomes)
	}
}
