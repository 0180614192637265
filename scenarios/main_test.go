package scenarios

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the error class for failures to start or observe the processes of a scenario.
var Error = errs.Class("scenario")

// maxParallelScripts limits how many scripts run at the same time; each starts about five processes.
const maxParallelScripts = "4"

// programDirectory contains the four programs, which are built once for all scripts.
var programDirectory string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	flag.Parse()
	directory, err := os.MkdirTemp("", "scenarios")
	if err != nil {
		panic(Error.Wrap(err))
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programDirectory = directory
	group, ctx := errgroup.WithContext(context.Background())
	for _, program := range []string{"router", "routerctl", "standin", "loadgen"} {
		group.Go(func() error {
			build := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(directory, program), "./"+program)
			build.Dir = ".."
			build.Stderr = os.Stderr
			return Error.Wrap(build.Run())
		})
	}
	if err := group.Wait(); err != nil {
		panic(err)
	}
	if err := flag.Set("test.parallel", maxParallelScripts); err != nil {
		panic(Error.Wrap(err))
	}
	return m.Run()
}

// TestScenarios runs the scripts in testdata. The comment at the head of each script names the failure that it guards
// against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setUp, Cmds: commands})
}
