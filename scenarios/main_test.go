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

// Error is the class of the failures of starting and observing the processes of a scenario.
var Error = errs.Class("scenario")

// parallelScripts bounds the scripts that run at the same time, each with about five processes.
const parallelScripts = "4"

// binaries is the directory of the four programs, built once.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	flag.Parse()
	directory, err := os.MkdirTemp("", "scenarios")
	if err != nil {
		panic(Error.Wrap(err))
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
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
	if err := flag.Set("test.parallel", parallelScripts); err != nil {
		panic(Error.Wrap(err))
	}
	return m.Run()
}

// TestScenarios runs the scripts in testdata; each script says which failure it guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setUp, Cmds: commands})
}
