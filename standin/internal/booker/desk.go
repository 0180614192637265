// Package booker simulates the order desk, a unary service that records every run in a ledger.
package booker

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// Faults of a desk besides those that all components have.
const (
	FaultCrash           = "crash"
	FaultPoison          = "poison"
	FaultLeaving         = "leaving"
	FaultReject          = "reject"
	FaultCutBeforeRun    = "cut_before_run"
	FaultCutBeforeAnswer = "cut_before_answer"
	FaultStraggler       = "straggler"
)

const (
	// defaultCrashDowntime is how long a desk stays down after a crash if the fault request gives no time.
	defaultCrashDowntime = 500 * time.Millisecond
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 4 << 20
)

// Settings configure one desk. ServiceMS is the duration of one run, Slots the number of concurrent runs.
type Settings struct {
	Name         string `yaml:"name"`
	Address      string `yaml:"address"`
	DataCentre   string `yaml:"data_centre"`
	Slots        int    `yaml:"slots"`
	ServiceMS    int    `yaml:"service_ms"`
	PoisonMarker string `yaml:"poison_marker"`
}

// Desk is one simulated order desk, which listens on its own address.
type Desk struct {
	settings Settings
	table    *faulter.Table
	ledger   *Ledger
	host     *hoster.Host
	log      *zap.Logger
	slots    chan struct{}
	waiting  atomic.Int64
	crashes  atomic.Int64
	mu       sync.Mutex
	instance string
}

// NewTable returns the fault table of a desk.
func NewTable(name string) *faulter.Table {
	descriptions := hoster.CommonFaults()
	maps.Copy(descriptions, map[string]string{
		FaultCrash:           "all connections are cut; a new instance serves after value ms (default 500), or for_ms",
		FaultPoison:          "a body that contains the text value crashes the desk that runs it",
		FaultLeaving:         "load reports say draining and the VM list says leaving; requests are still served",
		FaultReject:          "requests get status value (default 500) and do not run",
		FaultCutBeforeRun:    "a request is read but its connection is cut before it runs, with probability value",
		FaultCutBeforeAnswer: "a request runs but its connection is cut before the response, with probability value",
		FaultStraggler:       "speed is multiplied by value (default 0.1)",
	})
	return faulter.NewTable(name, descriptions)
}

// New starts a desk; it runs until ctx ends.
func New(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings Settings, table *faulter.Table,
	ledger *Ledger,
) (*Desk, error) {
	if settings.Slots == 0 {
		settings.Slots = 32
	}
	d := &Desk{
		settings: settings, table: table, ledger: ledger, log: log, slots: make(chan struct{}, settings.Slots),
		instance: uuid.NewString(),
	}
	host, err := hoster.New(ctx, group, log, settings.Name, settings.Address, table, d.routes())
	if err != nil {
		return nil, err
	}
	d.host = host
	host.HookDownFault()
	table.Hook(FaultCrash, func(value faulter.Value, downtime time.Duration) {
		table.Clear(FaultCrash)
		if downtime == 0 {
			downtime = value.MillisOr(defaultCrashDowntime)
		}
		d.crash(downtime)
	})
	return d, nil
}

// Address returns the "ip:port" of the desk.
func (d *Desk) Address() string { return d.host.Address() }

// Name returns the desk's name.
func (d *Desk) Name() string { return d.settings.Name }

// DataCentre returns the desk's data centre.
func (d *Desk) DataCentre() string { return d.settings.DataCentre }

// Crashes returns the number of crashes of the desk.
func (d *Desk) Crashes() int64 { return d.crashes.Load() }

// Leaving reports whether the desk's VM is leaving.
func (d *Desk) Leaving() bool {
	_, on := d.table.Get(FaultLeaving)
	return on
}

func (d *Desk) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/load", d.handleLoad)
	r.Get("/v1/ledger", d.handleLedger)
	r.HandleFunc("/v1/*", d.handleCall)
	return r
}

func (d *Desk) handleLoad(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	instance := d.instance
	d.mu.Unlock()
	hoster.WriteJSON(w, http.StatusOK, kernel.LoadReport{
		Instance: instance, Running: len(d.slots), Waiting: int(d.waiting.Load()), BatchSlots: d.settings.Slots,
		Draining: d.Leaving(),
	})
}

func (d *Desk) handleLedger(w http.ResponseWriter, _ *http.Request) {
	hoster.WriteJSON(w, http.StatusOK, d.ledger.Report())
}

// handleCall waits for a slot, records the run and responds after the service time. A client that disconnects while it
// waits for a slot causes no run; one that disconnects later does.
func (d *Desk) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || d.table.Triggers(FaultCutBeforeRun) {
		hoster.Abort()
	}
	if value, on := d.table.Get(FaultReject); on {
		w.WriteHeader(int(value.NumberOr(http.StatusInternalServerError)))
		return
	}
	d.waiting.Add(1)
	select {
	case d.slots <- struct{}{}:
		d.waiting.Add(-1)
	case <-r.Context().Done():
		d.waiting.Add(-1)
		hoster.Abort()
	}
	defer func() { <-d.slots }()
	d.execute(w, r, body)
}

func (d *Desk) execute(w http.ResponseWriter, r *http.Request, body []byte) {
	run := Run{
		RequestID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.URL.Path,
		BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body)), Desk: d.settings.Name,
	}
	number := d.ledger.Add(run)
	if d.containsPoison(string(body)) {
		d.crash(defaultCrashDowntime)
		hoster.Abort()
	}
	time.Sleep(d.serviceTime())
	if d.table.Triggers(FaultCutBeforeAnswer) {
		hoster.Abort()
	}
	hoster.WriteJSON(w, http.StatusOK, map[string]any{
		"request_id": run.RequestID, "path": run.Path, "body_hash": run.BodyHash, "desk": run.Desk, "run": number,
	})
}

func (d *Desk) serviceTime() time.Duration {
	duration := float64(d.settings.ServiceMS) * float64(time.Millisecond)
	if value, on := d.table.Get(FaultStraggler); on {
		duration /= max(value.NumberOr(0.1), 0.001)
	}
	return time.Duration(duration)
}

func (d *Desk) containsPoison(body string) bool {
	if marker := d.settings.PoisonMarker; marker != "" && strings.Contains(body, marker) {
		return true
	}
	value, on := d.table.Get(FaultPoison)
	return on && value.Text != "" && strings.Contains(body, value.Text)
}

func (d *Desk) crash(downtime time.Duration) {
	d.log.Info("desk crashed", zap.String("desk", d.settings.Name), zap.Duration("away", downtime))
	d.crashes.Add(1)
	d.mu.Lock()
	d.instance = uuid.NewString()
	d.mu.Unlock()
	d.host.TakeDown(downtime)
}
