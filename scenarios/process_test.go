package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"coltsfootplank/internal/checker"
)

const (
	startTimeout = 15 * time.Second
	// stopTimeout is above the drain delay and timeout of testdata/shared/router.yaml.
	stopTimeout = 40 * time.Second
)

// StartError reports a router that ended or didn't listen in time.
type StartError struct {
	Router string
	Output string
}

func (e *StartError) Error() string { return "router " + e.Router + " did not start: " + e.Output }

// process is a program that this scenario started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	code    int
	frozen  bool
}

// start starts a program with its output in a file of the scenario's directory.
func (w *world) start(name, program string, arguments ...string) (*process, error) {
	output, err := os.Create(filepath.Join(w.directory, name+".log"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &process{command: exec.Command(filepath.Join(binaries, program), arguments...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	w.group.Go(func() error {
		// The exit code says all that a scenario needs.
		_ = p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
		close(p.ended)
		return output.Close()
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) error {
	return Error.Wrap(p.command.Process.Signal(signal))
}

// startRouter starts a router and waits until it listens.
func (w *world) startRouter(name string) error {
	settings, err := w.render("router.yaml", name)
	if err != nil {
		return err
	}
	p, err := w.start(name, "router", "serve", "--settings", settings)
	if err != nil {
		return err
	}
	if !w.until(startTimeout, func() bool { return !p.running() || w.answers200(name, "/live") }) || !p.running() {
		return &StartError{Router: name, Output: w.output(name)}
	}
	w.group.Go(func() error {
		w.observe(name, p)
		return nil
	})
	return nil
}

func (w *world) answers200(router, path string) bool {
	_, err := w.call("GET", w.routerPort(portCallers, router), path, "")
	return err == nil
}

// stop starts a planned stop; the scenario awaits its end with "stopped".
func (w *world) stop(name string) error {
	w.mu.Lock()
	w.history.Stops = append(w.history.Stops, checker.Stop{At: time.Now(), Router: name})
	w.mu.Unlock()
	return w.processes[name].signal(syscall.SIGTERM)
}

// endAll kills what still runs; planned stops are part of the scenarios that are about them.
func (w *world) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.running() {
			// An error means that the process has just ended.
			_ = p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
}

// output returns the last lines that a process wrote.
func (w *world) output(name string) string {
	text, _ := os.ReadFile(filepath.Join(w.directory, name+".log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
