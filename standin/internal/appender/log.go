// Package appender simulates the log service: append-only streams with offsets, retention and outages.
package appender

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// Faults of the log besides those of every hosted part.
const (
	FaultOutage           = "outage"
	FaultAppendOutage     = "append_outage"
	FaultRate             = "rate"
	FaultLoseAppendAnswer = "lose_append_answer"
	FaultLateAppend       = "late_append"
	FaultCutBeforeAppend  = "cut_before_append"
	FaultTrim             = "trim"
)

const (
	// defaultPage and highestPage bound the records in one answer.
	defaultPage = 256
	highestPage = 4096
	// highestWait bounds a long poll.
	highestWait = 30 * time.Second
	// recordLimit bounds the size of a record in bytes.
	recordLimit = 1 << 20
	// lateDefault is how long a late append takes if the fault request gives no time.
	lateDefault = 500 * time.Millisecond
)

// Settings describe the log. KeepRecords and KeepMS are the retention of each stream, 0 for no limit.
type Settings struct {
	Name             string  `yaml:"name"`
	Address          string  `yaml:"address"`
	AppendsPerSecond float64 `yaml:"appends_per_second"`
	KeepRecords      int     `yaml:"keep_records"`
	KeepMS           int     `yaml:"keep_ms"`
}

// InvalidReadError reports a read with a malformed number.
type InvalidReadError struct {
	Field string
}

func (e *InvalidReadError) Error() string { return "read log: " + e.Field + " is not a valid number" }

// OutageError is the answer during an outage.
type OutageError struct{}

func (*OutageError) Error() string { return "the log is out of service" }

// RateError is the answer to an append over the rate.
type RateError struct{}

func (*RateError) Error() string { return "append rate exceeded" }

// Log is the simulated log service on its own address.
type Log struct {
	settings Settings
	table    *faulter.Table
	store    *store
	limiter  *rate.Limiter
	host     *hoster.Host
	group    *errgroup.Group
	ctx      context.Context
	appends  atomic.Int64
	refused  atomic.Int64
	lost     atomic.Int64
}

// Stats count appends: all that took effect, those over the rate and those whose answer was lost. Streams maps
// each stream to its first and next offset.
type Stats struct {
	Appends     int64               `json:"appends"`
	RateRefused int64               `json:"rate_refused"`
	AnswersLost int64               `json:"answers_lost"`
	Streams     map[string][2]int64 `json:"streams"`
}

// NewTable returns the fault table of the log.
func NewTable(name string) *faulter.Table {
	known := hoster.CommonFaults()
	maps.Copy(known, map[string]string{
		FaultOutage:           "all calls answer 503",
		FaultAppendOutage:     "appends answer 503, reads work",
		FaultRate:             "the append rate is value per second",
		FaultLoseAppendAnswer: "an append takes effect but its connection is cut, with probability value",
		FaultLateAppend:       "an append's connection is cut at once and it takes effect value ms later (default 500)",
		FaultCutBeforeAppend:  "an append's connection is cut and it takes no effect, with probability value",
		FaultTrim:             "all but the newest value records of each stream are dropped once (default 0)",
	})
	return faulter.NewTable(name, known)
}

// New starts the log; it runs until ctx ends.
func New(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings Settings, table *faulter.Table,
) (*Log, error) {
	if settings.AppendsPerSecond == 0 {
		settings.AppendsPerSecond = 300
	}
	burst := max(1, int(settings.AppendsPerSecond/10))
	l := &Log{
		settings: settings, table: table, group: group, ctx: ctx,
		store:   newStore(settings.KeepRecords, time.Duration(settings.KeepMS)*time.Millisecond),
		limiter: rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), burst),
	}
	host, err := hoster.New(ctx, group, log, settings.Name, settings.Address, table, l.routes())
	if err != nil {
		return nil, err
	}
	l.host = host
	host.HookDown()
	table.Hook(FaultTrim, func(value faulter.Value, _ time.Duration) {
		table.Clear(FaultTrim)
		l.store.trim(max(0, int(value.Number)))
	})
	return l, nil
}

// Address returns the "ip:port" of the log.
func (l *Log) Address() string { return l.host.Address() }

// Stats returns the counters of the log.
func (l *Log) Stats() Stats {
	return Stats{
		Appends: l.appends.Load(), RateRefused: l.refused.Load(), AnswersLost: l.lost.Load(),
		Streams: l.store.sizes(),
	}
}

func (l *Log) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/streams/{name}/append", l.handleAppend)
	r.Get("/v1/streams/{name}", l.handleRead)
	return r
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, recordLimit))
	if err != nil || l.table.Hits(FaultCutBeforeAppend) {
		hoster.Abort()
	}
	if l.out(FaultOutage) || l.out(FaultAppendOutage) {
		hoster.WriteProblem(w, http.StatusServiceUnavailable, &OutageError{})
		return
	}
	if !l.allowed() {
		l.refused.Add(1)
		hoster.WriteProblem(w, http.StatusTooManyRequests, &RateError{})
		return
	}
	stream := chi.URLParam(r, "name")
	if value, on := l.table.Get(FaultLateAppend); on {
		l.lost.Add(1)
		l.appendLater(stream, data, value.Millis(lateDefault))
		hoster.Abort()
	}
	offset := l.store.append(stream, data)
	l.appends.Add(1)
	if l.table.Hits(FaultLoseAppendAnswer) {
		l.lost.Add(1)
		hoster.Abort()
	}
	hoster.WriteJSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := number(r, "from", 0)
	limit, errLimit := number(r, "max", defaultPage)
	waitMS, errWait := number(r, "wait_ms", 0)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		hoster.WriteProblem(w, http.StatusBadRequest, err)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, highestWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		if l.out(FaultOutage) {
			hoster.WriteProblem(w, http.StatusServiceUnavailable, &OutageError{})
			return
		}
		page, changed, err := l.store.read(chi.URLParam(r, "name"), from, int(min(limit, highestPage)))
		if err != nil {
			hoster.WriteJSON(w, http.StatusGone, err)
			return
		}
		if len(page.Records) > 0 || ctx.Err() != nil {
			hoster.WriteJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (l *Log) appendLater(stream string, data []byte, delay time.Duration) {
	l.group.Go(func() error {
		select {
		case <-l.ctx.Done():
		case <-time.After(delay):
			l.store.append(stream, data)
			l.appends.Add(1)
		}
		return nil
	})
}

func (l *Log) out(fault string) bool {
	_, on := l.table.Get(fault)
	return on
}

// allowed takes one append from the rate, which a fault can change.
func (l *Log) allowed() bool {
	limit := rate.Limit(l.settings.AppendsPerSecond)
	if value, on := l.table.Get(FaultRate); on {
		limit = rate.Limit(value.Or(1))
	}
	if l.limiter.Limit() != limit {
		l.limiter.SetLimit(limit)
	}
	return l.limiter.Allow()
}

func number(r *http.Request, field string, fallback int64) (int64, error) {
	text := r.URL.Query().Get(field)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, &InvalidReadError{Field: field}
	}
	return n, nil
}
