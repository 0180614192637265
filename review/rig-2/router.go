package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fields are the platform's fields for one machine of the deployment catavento-ne, with addresses of the loopback interface.
func fields(name, zone, frontend, readiness, control, admin, storeAddress string, seeds []string) map[string]any {
	seedList := make([]any, len(seeds))
	for i, s := range seeds {
		seedList[i] = s
	}
	_, adminPort, _ := net.SplitHostPort(admin)
	return map[string]any{
		"node_name": name, "zone": zone, "region": "recife", "ip": "127.0.0.1",
		"listen":     map[string]any{"frontend": frontend, "readiness": readiness, "control_plane": control},
		"seed_nodes": seedList, "internal_ports": []any{adminPort, adminPort},
		"limits":    map[string]any{"cpu_share": 0.272, "memory_mb": 206, "file_descriptors": 2870},
		"contracts": []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"bounds": map[string]any{
			"retry_budget_ratio": 0.2, "retry_budget_slack": 129, "quota_window_s": 8, "grace_period_s": 8, "drain_ms": 2000,
			"config_propagation_ms": 2000, "contact_ms": 3000,
		},
		"platform": map[string]any{"address": storeAddress},
	}
}

// router is one router process and what it needs to start again.
type router struct {
	name                string
	frontend, readiness string
	control, admin      string
	settings, log       string
	store               *proxy

	mu      sync.Mutex
	command *exec.Cmd
	// startedAt is when the process was started last, killedAt when it was killed or disturbed last.
	startedAt time.Time
}

// routers runs router processes with the command of the deploy file.
type routers struct {
	root, folder string
	record       *record
	list         []*router
}

// freePorts returns ports that are free now.
func freePorts(n int) ([]string, error) {
	var held []net.Listener
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range held {
		_ = listener.Close()
	}
	return addresses, nil
}

// add prepares routers with the given names in one zone, each with its own path to the store.
func (r *routers) add(names []string, zone, storeAddress string) error {
	template, err := os.ReadFile(filepath.Join(r.root, "deploy", "router.yaml.tmpl"))
	if err != nil {
		return err
	}
	ports, err := freePorts(4 * len(names))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range names {
		seeds = append(seeds, ports[4*i+2])
	}
	seeds = seeds[:min(3, len(seeds))]
	for i, name := range names {
		p := ports[4*i:]
		path, err := newProxy(storeAddress)
		if err != nil {
			return err
		}
		one := &router{
			name: name, frontend: p[0], readiness: p[1], control: p[2], admin: p[3], store: path,
			settings: filepath.Join(r.folder, name+".yaml"), log: filepath.Join(r.folder, name+".log"),
		}
		text := render(string(template), fields(name, zone, p[0], p[1], p[2], p[3], path.address, seeds))
		if err := os.WriteFile(one.settings, []byte(text), 0o600); err != nil {
			return err
		}
		r.list = append(r.list, one)
	}
	return nil
}

// start starts the process of a router.
func (r *routers) start(one *router) error {
	log, err := os.OpenFile(one.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(r.root, "target", "router"), "serve", "--settings", one.settings)
	command.Dir = r.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "LANG=C.UTF-8", "COLTSFOOTPLANK_BOOT=" + one.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	one.mu.Lock()
	one.command, one.startedAt = command, time.Now()
	one.mu.Unlock()
	r.record.printf("router %s starts, process %d", one.name, command.Process.Pid)
	return nil
}

// kill kills the process of a router and waits for its end.
func (r *routers) kill(one *router) {
	one.mu.Lock()
	command := one.command
	one.command = nil
	one.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	_ = command.Wait()
	r.record.printf("router %s was killed", one.name)
}

// killAll kills all processes at the same moment.
func (r *routers) killAll() {
	var group sync.WaitGroup
	for _, one := range r.list {
		group.Add(1)
		go func() { defer group.Done(); r.kill(one) }()
	}
	group.Wait()
}

// startAll starts all routers and waits until each is ready.
func (r *routers) startAll() error {
	for _, one := range r.list {
		if err := r.start(one); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, one := range r.list {
		for !one.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("router %s isn't ready after 15 s", one.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.record.printf("all routers are ready")
	return nil
}

func (one *router) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + one.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// since returns when the process was started last.
func (one *router) since() time.Time {
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.startedAt
}

// find returns the router with a name.
func (r *routers) find(name string) *router {
	for _, one := range r.list {
		if one.name == name {
			return one
		}
	}
	return nil
}
