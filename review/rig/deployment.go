package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{start: time.Now(), file: file}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small installation: the store, some routers and engines, each in a process of its own but the store.
type deployment struct {
	record  *recorder
	folder  string
	store   *store
	address string // of the store
	routers []*routerProcess
	engines []*engineProcess
	stopped chan struct{}
	group   sync.WaitGroup
}

const beatEvery = 1200 * time.Millisecond

func newDeployment(record *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, folder: folder, store: newStore(beatEvery), address: freeAddress(), stopped: make(chan struct{})}
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, d.store) }()
	go d.store.expire()
	return d, nil
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

// routerProcess is a router, started as the deploy file says.
type routerProcess struct {
	name, zone, settings                 string
	callers, readiness, peers, adminPort string

	mu      sync.Mutex
	command *exec.Cmd
	starts  int
}

// addRouters starts routers with the settings that the platform renders from deploy/router.yaml.tmpl.
func (d *deployment) addRouters(count int, memoryMB int) error {
	for i := range count {
		d.routers = append(d.routers, &routerProcess{
			name: fmt.Sprintf("frontend-zone-%c-1", 'a'+i), zone: fmt.Sprintf("zone-%c", 'a'+i),
			callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), adminPort: port(freeAddress()),
		})
	}
	var seeds []any
	for _, r := range d.routers {
		seeds = append(seeds, r.peers)
	}
	template, err := os.ReadFile("deploy/router.yaml.tmpl")
	if err != nil {
		return err
	}
	for _, r := range d.routers {
		fields := map[string]any{
			"node_name": r.name, "zone": r.zone, "ip": "127.0.0.1", "seed_nodes": seeds, "internal_ports": []any{r.adminPort},
			"listen":   map[string]any{"frontend": r.callers, "readiness": r.readiness, "control_plane": r.peers},
			"platform": map[string]any{"address": d.address},
			"limits":   map[string]any{"cpu_share": 0.272, "memory_mb": memoryMB},
			"bounds": map[string]any{
				"retry_budget_ratio": 0.2, "retry_budget_slack": 116, "quota_window_s": 8, "grace_period_s": 8,
			},
		}
		r.settings = filepath.Join(d.folder, r.name+".yaml")
		if err := os.WriteFile(r.settings, []byte(render(string(template), fields)), 0o600); err != nil {
			return err
		}
		if err := d.startRouter(r); err != nil {
			return err
		}
	}
	return nil
}

// startRouter starts a router and restarts it a second after it has ended, until the deployment stops.
func (d *deployment) startRouter(r *routerProcess) error {
	output, err := os.OpenFile(filepath.Join(d.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/router", "serve", "--settings", r.settings)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.command = command
	r.starts++
	r.mu.Unlock()
	d.record.log("router %s started, process %d", r.name, command.Process.Pid)
	d.group.Go(func() {
		err := command.Wait()
		_ = output.Close()
		d.record.log("router %s ended: %v", r.name, err)
		select {
		case <-d.stopped:
		case <-time.After(time.Second):
			if err := d.startRouter(r); err != nil {
				d.record.log("router %s not started: %v", r.name, err)
			}
		}
	})
	return nil
}

// signal sends a signal to the router's process.
func (r *routerProcess) signal(s os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.command.Process.Signal(s)
}

func (r *routerProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + r.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range d.routers {
			if r.ready() {
				ready++
			}
		}
		if ready == len(d.routers) {
			return nil
		}
	}
	return fmt.Errorf("the routers aren't ready after %v", limit)
}

// engineEvent is what an engine reports.
type engineEvent struct {
	At      int64  `json:"at_ms"`
	Engine  string `json:"engine"`
	Event   string `json:"event"`
	Request string `json:"request"`
	Path    string `json:"path"`
}

// engineProcess is an engine stand-in.
type engineProcess struct {
	id, service, zone, address string
	arguments                  []string
	observe                    func(engineEvent)
	// restart returns how long after its end the engine is back, and under which id.
	restart func(e *engineProcess) (time.Duration, string)
}

func (d *deployment) addEngine(e *engineProcess) error {
	e.address = freeAddress()
	d.engines = append(d.engines, e)
	return d.startEngine(e)
}

func (d *deployment) startEngine(e *engineProcess) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	arguments := append([]string{"engine", "-id", e.id, "-service", e.service, "-zone", e.zone, "-address", e.address, "-store", d.address}, e.arguments...)
	command := exec.Command(own, arguments...)
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	d.record.log("engine %s (%s) started at %s, process %d", e.id, e.service, e.address, command.Process.Pid)
	d.group.Go(func() {
		go func() {
			<-d.stopped
			_ = command.Process.Kill()
		}()
		for lines := bufio.NewScanner(output); lines.Scan(); {
			var event engineEvent
			if json.Unmarshal(lines.Bytes(), &event) == nil && e.observe != nil {
				e.observe(event)
			}
		}
		_ = command.Wait()
		pause, id := time.Second, e.id
		if e.restart != nil {
			pause, id = e.restart(e)
		}
		select {
		case <-d.stopped:
		case <-time.After(pause):
			e.id = id
			if err := d.startEngine(e); err != nil {
				d.record.log("engine %s not started: %v", e.id, err)
			}
		}
	})
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	close(d.stopped)
	ended := make(chan struct{})
	go func() {
		d.group.Wait()
		close(ended)
	}()
	// A router may just be starting again, so the signal is repeated.
	for running := true; running; {
		for _, r := range d.routers {
			r.signal(syscall.SIGKILL)
		}
		select {
		case <-ended:
			running = false
		case <-time.After(100 * time.Millisecond):
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}
	_ = os.RemoveAll(d.folder)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a settings template with the fields that the platform offers. It knows the placeholders that
// deploy/router.yaml.tmpl uses.
func render(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(text string) string {
		match := sectionPattern.FindStringSubmatch(text)
		value := lookup(fields, match[1])
		list, ok := value.([]any)
		if !ok {
			if value == nil {
				return ""
			}
			return match[2]
		}
		var result strings.Builder
		for i, item := range list {
			encoded, _ := json.Marshal(item)
			entry := strings.ReplaceAll(match[2], "{{.|json}}", string(encoded))
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			result.WriteString(strings.ReplaceAll(entry, "{{,}}", comma))
		}
		return result.String()
	})
	return valuePattern.ReplaceAllStringFunc(template, func(text string) string {
		match := valuePattern.FindStringSubmatch(text)
		value := lookup(fields, match[1])
		if match[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

func lookup(fields any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch value := fields.(type) {
		case map[string]any:
			fields = value[name]
		case []any:
			var index int
			if _, err := fmt.Sscan(name, &index); err != nil || index >= len(value) {
				return nil
			}
			fields = value[index]
		default:
			return nil
		}
	}
	return fields
}
