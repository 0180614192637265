// Package booker simulates the order desk: unary paths whose every run is kept in a ledger.
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

// Faults of a desk besides those of every hosted part.
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
	// crashDefault is how long a desk stays away after a crash if the fault request gives no time.
	crashDefault = 500 * time.Millisecond
	// requestLimit bounds the body of a request in bytes.
	requestLimit = 4 << 20
)

// Settings describe one desk. ServiceMS is the time of one run, Slots how many run together.
type Settings struct {
	Name         string `yaml:"name"`
	Address      string `yaml:"address"`
	DataCentre   string `yaml:"data_centre"`
	Slots        int    `yaml:"slots"`
	ServiceMS    int    `yaml:"service_ms"`
	PoisonMarker string `yaml:"poison_marker"`
}

// Desk is one simulated order desk on its own address.
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
	known := hoster.CommonFaults()
	maps.Copy(known, map[string]string{
		FaultCrash:           "all connections are cut; a new instance serves after value ms (default 500), or for_ms",
		FaultPoison:          "a body that contains the text value crashes the desk that runs it",
		FaultLeaving:         "load reports say draining and the VM list says leaving; requests are still served",
		FaultReject:          "requests answer status value (default 500) and do not run",
		FaultCutBeforeRun:    "the connection is cut after the request was read, with probability value; it does not run",
		FaultCutBeforeAnswer: "the request runs but the connection is cut instead of an answer, with probability value",
		FaultStraggler:       "speed is multiplied by value (default 0.1)",
	})
	return faulter.NewTable(name, known)
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
	host.HookDown()
	table.Hook(FaultCrash, func(value faulter.Value, length time.Duration) {
		table.Clear(FaultCrash)
		if length == 0 {
			length = value.Millis(crashDefault)
		}
		d.crash(length)
	})
	return d, nil
}

// Address returns the "ip:port" of the desk.
func (d *Desk) Address() string { return d.host.Address() }

// Name returns the desk's name.
func (d *Desk) Name() string { return d.settings.Name }

// DataCentre returns the desk's data centre.
func (d *Desk) DataCentre() string { return d.settings.DataCentre }

// Crashes returns how often the desk crashed.
func (d *Desk) Crashes() int64 { return d.crashes.Load() }

// Leaving reports whether the desk's VM is about to go.
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

// handleCall waits for a slot, records the run and answers after the service time. A caller that goes away while
// it waits for a slot causes no run; one that goes away later does.
func (d *Desk) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, requestLimit))
	if err != nil || d.table.Hits(FaultCutBeforeRun) {
		hoster.Abort()
	}
	if value, on := d.table.Get(FaultReject); on {
		w.WriteHeader(int(value.Or(http.StatusInternalServerError)))
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
	d.answer(w, r, body)
}

func (d *Desk) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	run := Run{
		RequestID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.URL.Path,
		BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body)), Desk: d.settings.Name,
	}
	number := d.ledger.Add(run)
	if d.poisoned(string(body)) {
		d.crash(crashDefault)
		hoster.Abort()
	}
	time.Sleep(d.serviceTime())
	if d.table.Hits(FaultCutBeforeAnswer) {
		hoster.Abort()
	}
	hoster.WriteJSON(w, http.StatusOK, map[string]any{
		"request_id": run.RequestID, "path": run.Path, "body_hash": run.BodyHash, "desk": run.Desk, "run": number,
	})
}

func (d *Desk) serviceTime() time.Duration {
	length := float64(d.settings.ServiceMS) * float64(time.Millisecond)
	if value, on := d.table.Get(FaultStraggler); on {
		length /= max(value.Or(0.1), 0.001)
	}
	return time.Duration(length)
}

func (d *Desk) poisoned(body string) bool {
	if marker := d.settings.PoisonMarker; marker != "" && strings.Contains(body, marker) {
		return true
	}
	value, on := d.table.Get(FaultPoison)
	return on && value.Text != "" && strings.Contains(body, value.Text)
}

func (d *Desk) crash(away time.Duration) {
	d.log.Info("desk crashed", zap.String("desk", d.settings.Name), zap.Duration("away", away))
	d.crashes.Add(1)
	d.mu.Lock()
	d.instance = uuid.NewString()
	d.mu.Unlock()
	d.host.Down(away)
}
