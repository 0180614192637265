package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is a process of the system.
type router struct {
	name, zone                string
	ip                        string
	callers, readiness, peers string
	firstPort                 int
	settings                  string
	log                       *os.File
	process                   *exec.Cmd
	ended                     chan struct{}
}

// deployment holds what the settings of all routers have in common.
type deployment struct {
	root, folder string
	store        *store
	bounds       map[string]any
	contracts    []any
	routers      []*router
}

// bounds of the site couvercle-commun.
var siteBounds = map[string]any{
	"seed_lag_s": 3, "reuse_delay_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
	"grace_period_s": 8, "loss_slack_ms": 200, "config_propagation_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
	"revocation_strict": false, "revocation_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
	"retry_budget_slack": 116, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000, "recovery_s": 12,
	"pass_ms": 120, "cache_window_s": 7.7,
}

// freePorts returns different ports that are free at an address now.
func freePorts(ip string, count int) (ports []int) {
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		check(err)
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// addRouter prepares a router with a loopback address of its own.
func (d *deployment) addRouter(zone string) *router {
	n := len(d.routers) + 1
	ip := fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, n)
	r := &router{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, ip: ip}
	ports := freePorts(ip, 4)
	r.callers = fmt.Sprintf("%s:%d", ip, ports[0])
	r.readiness = fmt.Sprintf("%s:%d", ip, ports[1])
	r.peers = fmt.Sprintf("%s:%d", ip, ports[2])
	r.firstPort = ports[3]
	d.routers = append(d.routers, r)
	return r
}

// writeSettings renders the template of the deploy file for a router.
func (d *deployment) writeSettings(r *router) {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "router.yaml.tmpl"))
	check(err)
	var seeds []any
	for _, other := range d.routers[:min(3, len(d.routers))] {
		seeds = append(seeds, other.peers)
	}
	fields := map[string]any{
		"node_name": r.name, "zone": r.zone, "ip": r.ip,
		"listen":         map[string]any{"frontend": r.callers, "readiness": r.readiness, "control_plane": r.peers},
		"internal_ports": []any{r.firstPort, r.firstPort + 15}, "seed_nodes": seeds,
		"limits":    map[string]any{"cpu_share": 0.272, "cpu_cores": 1, "memory_mb": 120, "file_descriptors": 2940, "link_mbps": 700.0},
		"bounds":    d.bounds,
		"contracts": []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"platform":  map[string]any{"address": d.store.address},
	}
	r.settings = filepath.Join(d.folder, r.name+".yaml")
	check(os.WriteFile(r.settings, []byte(render(string(text), fields)), 0o600))
}

// start starts the process with the command of the deploy file.
func (d *deployment) start(r *router) {
	if r.settings == "" {
		d.writeSettings(r)
	}
	if r.log == nil {
		var err error
		r.log, err = os.Create(filepath.Join(d.folder, r.name+".log"))
		check(err)
	}
	r.process = exec.Command("target/router", "serve", "--settings", r.settings)
	r.process.Dir = d.root
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C"}
	r.process.Stdout, r.process.Stderr = r.log, r.log
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(r.process.Start())
	ended := make(chan struct{})
	r.ended = ended
	process := r.process
	go func() { _ = process.Wait(); close(ended) }()
}

// kill ends the process at once.
func (r *router) kill() {
	if r.process == nil {
		return
	}
	_ = r.process.Process.Kill()
	<-r.ended
}

func (r *router) signal(s syscall.Signal) { check(r.process.Process.Signal(s)) }

// ready reports whether the router's readiness check answers 200.
func (r *router) ready() bool {
	conn, err := net.DialTimeout("tcp", r.readiness, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	head := make([]byte, 64)
	n, _ := conn.Read(head)
	return bytes.HasPrefix(head[:n], []byte("HTTP/1.1 200"))
}

// awaitReady waits until all routers are ready.
func (d *deployment) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range d.routers {
		for !r.ready() {
			if time.Now().After(deadline) {
				fatal("%s is not ready; see %s", r.name, r.log.Name())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// end ends all routers that still run.
func (d *deployment) end() {
	for _, r := range d.routers {
		r.kill()
	}
}

// logLines returns the lines of a router's log that contain a text.
func (r *router) logLines(text string) (found []string) {
	data, err := os.ReadFile(r.log.Name())
	check(err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}
