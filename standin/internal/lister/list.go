// Package lister simulates the VM list, which shows changes after a lag.
package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// Faults of the VM list besides those that all components have.
const (
	FaultOutage = "outage"
	FaultStale  = "stale"
)

// sampleInterval is the time between samples of the state of the VMs. It is short compared with the usual lag.
const sampleInterval = 50 * time.Millisecond

// stateGone removes a VM from the list; it never appears in a response.
const stateGone kernel.VMState = "gone"

// Settings configure the VM list. VMs are entries besides the engines and desks.
type Settings struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	LagMS   int    `yaml:"lag_ms"`
	VMs     []VM   `yaml:"vms"`
}

// VM is one entry of the settings or of a change request.
type VM struct {
	Address    string `yaml:"address" json:"address"`
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	Role       string `yaml:"role" json:"role"`
	State      string `yaml:"state" json:"state"`
}

// InvalidVMError reports an entry with a missing address or an unknown state.
type InvalidVMError struct {
	Reason string
}

func (e *InvalidVMError) Error() string { return "change VM list: " + e.Reason }

// OutageError is the error response during an outage.
type OutageError struct{}

func (*OutageError) Error() string { return "the VM list is out of service" }

// Source is a component that runs on a VM of the list.
type Source interface {
	Address() string
	DataCentre() string
	Leaving() bool
}

// List is the simulated VM list, which listens on its own address.
type List struct {
	lag   time.Duration
	table *faulter.Table
	host  *hoster.Host

	mu      sync.Mutex
	sources map[Source]string
	latest  map[string]kernel.VM
	visible map[string]kernel.VM
	pending []change
}

// change is an entry that becomes visible at a given time.
type change struct {
	kernel.VM
	visibleAt time.Time
}

// NewTable returns the fault table of the VM list.
func NewTable(name string) *faulter.Table {
	descriptions := hoster.CommonFaults()
	maps.Copy(descriptions, map[string]string{
		FaultOutage: "all requests get status 503",
		FaultStale:  "no change becomes visible while the fault is on",
	})
	return faulter.NewTable(name, descriptions)
}

// New starts the VM list; it runs until ctx ends. sources maps components to the roles of their VMs. They and the
// entries of the settings are visible from the start.
func New(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings Settings, table *faulter.Table,
	sources map[Source]string,
) (*List, error) {
	l := &List{
		lag: time.Duration(settings.LagMS) * time.Millisecond, table: table, sources: sources,
		latest: make(map[string]kernel.VM), visible: make(map[string]kernel.VM),
	}
	for _, row := range settings.VMs {
		if err := l.Change(row); err != nil {
			return nil, err
		}
	}
	l.sample()
	l.publish(time.Now().Add(l.lag))
	host, err := hoster.New(ctx, group, log, settings.Name, settings.Address, table, l.routes())
	if err != nil {
		return nil, err
	}
	l.host = host
	host.HookDownFault()
	group.Go(func() error {
		l.sampleRegularly(ctx)
		return nil
	})
	return l, nil
}

// Address returns the "ip:port" of the VM list.
func (l *List) Address() string { return l.host.Address() }

// Change adds an entry or changes its state; the state "gone" removes it. The change becomes visible after the lag.
// Errors: *InvalidVMError.
func (l *List) Change(row VM) error {
	if row.Address == "" {
		return &InvalidVMError{Reason: "address is missing"}
	}
	state := kernel.VMState(row.State)
	if state == "" {
		state = kernel.VMLive
	}
	if !slices.Contains([]kernel.VMState{kernel.VMLive, kernel.VMLeaving, stateGone}, state) {
		return &InvalidVMError{Reason: fmt.Sprintf("unknown state %q (known: live, leaving, gone)", row.State)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(kernel.VM{Address: row.Address, DataCentre: row.DataCentre, Role: row.Role, State: state})
	return nil
}

func (l *List) set(vm kernel.VM) {
	if l.latest[vm.Address] == vm {
		return
	}
	l.latest[vm.Address] = vm
	l.pending = append(l.pending, change{VM: vm, visibleAt: time.Now().Add(l.lag)})
}

func (l *List) sampleRegularly(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sample()
		}
	}
}

// sample records the current state of all sources.
func (l *List) sample() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for source, role := range l.sources {
		state := kernel.VMLive
		if source.Leaving() {
			state = kernel.VMLeaving
		}
		l.set(kernel.VM{Address: source.Address(), DataCentre: source.DataCentre(), Role: role, State: state})
	}
}

// publish makes the changes visible whose lag has passed, and returns the visible entries.
func (l *List) publish(now time.Time) []kernel.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, stale := l.table.Get(FaultStale)
	for !stale && len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		vm := l.pending[0].VM
		l.pending = l.pending[1:]
		l.visible[vm.Address] = vm
		if vm.State == stateGone {
			delete(l.visible, vm.Address)
		}
	}
	rows := make([]kernel.VM, 0, len(l.visible))
	for _, address := range slices.Sorted(maps.Keys(l.visible)) {
		rows = append(rows, l.visible[address])
	}
	return rows
}

func (l *List) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/vms", l.handleList)
	return r
}

func (l *List) handleList(w http.ResponseWriter, _ *http.Request) {
	if _, outage := l.table.Get(FaultOutage); outage {
		hoster.WriteError(w, http.StatusServiceUnavailable, &OutageError{})
		return
	}
	hoster.WriteJSON(w, http.StatusOK, map[string][]kernel.VM{"vms": l.publish(time.Now())})
}

// HandleChange serves POST /control/vms. The body is one entry as JSON.
func (l *List) HandleChange(w http.ResponseWriter, r *http.Request) {
	var row VM
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		hoster.WriteError(w, http.StatusBadRequest, &InvalidVMError{Reason: err.Error()})
		return
	}
	if err := l.Change(row); err != nil {
		hoster.WriteError(w, http.StatusBadRequest, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
