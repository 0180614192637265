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

// outcomes are the exit codes of routerctl catalogue apply.
var outcomes = []string{"accepted", "failure", "usage", "conflict", "validation", "unavailable", "unknown"}

// edit runs routerctl catalogue apply and records an accepted edit.
func (w *world) edit(router, file, base string) (string, error) {
	path, err := w.render(file, router)
	if err != nil {
		return "", err
	}
	call := exec.CommandContext(w.ctx, filepath.Join(binaries, "routerctl"),
		"--admin", address(w.routerPort(portAdmin, router)), "catalogue", "apply", path, "--base", base, "--editor", router)
	err = call.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", Error.Wrap(err)
	}
	outcome := outcomes[call.ProcessState.ExitCode()]
	if outcome != "accepted" {
		return outcome, nil
	}
	at := time.Now()
	text, err := os.ReadFile(path)
	if err != nil {
		return "", Error.Wrap(err)
	}
	content, err := digest(string(text))
	if err != nil {
		return "", err
	}
	revision, err := strconv.ParseUint(base, 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Accepted = append(w.history.Accepted, checker.Accepted{At: at, Revision: revision + 1, Digest: content})
	return outcome, Error.Wrap(err)
}

// applyCatalogue is apply ROUTER FILE BASE OUTCOME. An edit that was not accepted because a starting router had not
// read the log yet changed nothing and is repeated.
func applyCatalogue(w *world, ts *testscript.TestScript, args []string) {
	outcome := ""
	w.demand(ts, startTimeout, "an edit with the outcome "+args[3], func() bool {
		var err error
		outcome, err = w.edit(args[0], args[1], args[2])
		ts.Check(err)
		return outcome != "unavailable" || args[3] == "unavailable"
	})
	if outcome != args[3] {
		ts.Fatalf("the edit's outcome is %s, not %s", outcome, args[3])
	}
}

// raceCatalogue is race BASE ROUTER FILE ROUTER FILE: exactly one of two edits wins.
func raceCatalogue(w *world, ts *testscript.TestScript, args []string) {
	got := make([]string, 2)
	var group errgroup.Group
	for i := range got {
		group.Go(func() error {
			var err error
			got[i], err = w.edit(args[1+2*i], args[2+2*i], args[0])
			return err
		})
	}
	ts.Check(group.Wait())
	slices.Sort(got)
	if !slices.Equal(got, []string{"accepted", "conflict"}) {
		ts.Fatalf("the outcomes of the race are %v", got)
	}
}
