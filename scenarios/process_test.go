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
	// stopTimeout exceeds the sum of the drain delay and timeout in testdata/shared/router.yaml.
	stopTimeout = 40 * time.Second
)

// StartError reports that a router exited or didn't become live within startTimeout. Output holds the last lines of its
// log.
type StartError struct {
	Router string
	Output string
}

func (e *StartError) Error() string { return "router " + e.Router + " did not start: " + e.Output }

// process is a program started by the scenario.
type process struct {
	command  *exec.Cmd
	exited   chan struct{}
	exitCode int
	frozen   bool
}

// start starts a program and writes its output to NAME.log in the scenario's directory.
func (s *scenario) start(name, program string, arguments ...string) (*process, error) {
	output, err := os.Create(filepath.Join(s.directory, name+".log"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &process{command: exec.Command(filepath.Join(programDirectory, program), arguments...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	s.group.Go(func() error {
		// The error is ignored because the scenarios check only the exit code.
		_ = p.command.Wait()
		p.exitCode = p.command.ProcessState.ExitCode()
		close(p.exited)
		return output.Close()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) error {
	return Error.Wrap(p.command.Process.Signal(signal))
}

// startRouter starts a router, waits until it is live and begins to poll its history.
func (s *scenario) startRouter(name string) error {
	settings, err := s.render("router.yaml", name)
	if err != nil {
		return err
	}
	p, err := s.start(name, "router", "serve", "--settings", settings)
	if err != nil {
		return err
	}
	if !s.waitUntil(startTimeout, func() bool { return !p.running() || s.respondsOK(name, "/live") }) || !p.running() {
		return &StartError{Router: name, Output: s.lastOutput(name)}
	}
	s.group.Go(func() error {
		s.pollUntilExit(name, p)
		return nil
	})
	return nil
}

// respondsOK reports whether a GET request to the router's listener for callers succeeds.
func (s *scenario) respondsOK(router, path string) bool {
	_, err := s.call("GET", s.routerPort(portCallers, router), path, "")
	return err == nil
}

// stop begins a planned stop; the script waits for the exit with "stopped".
func (s *scenario) stop(name string) error {
	s.mu.Lock()
	s.history.Stops = append(s.history.Stops, checker.Stop{At: time.Now(), Router: name})
	s.mu.Unlock()
	return s.processes[name].signal(syscall.SIGTERM)
}

// killAll ends the processes that still run with SIGKILL. Planned stops with SIGTERM are left to the scripts about them.
func (s *scenario) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.running() {
			// The error is ignored because it means only that the process has just exited.
			_ = p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
}

// lastOutput returns the last five lines that a process wrote.
func (s *scenario) lastOutput(name string) string {
	text, _ := os.ReadFile(filepath.Join(s.directory, name+".log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
