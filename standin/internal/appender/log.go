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

// Faults of the log besides those that all components have.
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
	// defaultPageSize and maxPageSize are the default and maximum number of records in one response.
	defaultPageSize = 256
	maxPageSize     = 4096
	// maxPollWait is the maximum duration of a long poll.
	maxPollWait = 30 * time.Second
	// maxRecordBytes is the maximum size of a record.
	maxRecordBytes = 1 << 20
	// defaultAppendDelay is the delay of a late append if the fault request gives no value.
	defaultAppendDelay = 500 * time.Millisecond
)

// Settings configure the log. KeepRecords and KeepMS set the retention of each stream; 0 means no limit.
type Settings struct {
	Name             string  `yaml:"name"`
	Address          string  `yaml:"address"`
	AppendsPerSecond float64 `yaml:"appends_per_second"`
	KeepRecords      int     `yaml:"keep_records"`
	KeepMS           int     `yaml:"keep_ms"`
}

// InvalidReadError reports a read request with an invalid numeric parameter.
type InvalidReadError struct {
	Field string
}

func (e *InvalidReadError) Error() string { return "read log: " + e.Field + " is not a valid number" }

// OutageError is the error response during an outage.
type OutageError struct{}

func (*OutageError) Error() string { return "the log is out of service" }

// RateError is the error response to an append above the rate limit.
type RateError struct{}

func (*RateError) Error() string { return "append rate exceeded" }

// Log is the simulated log service, which listens on its own address.
type Log struct {
	settings    Settings
	table       *faulter.Table
	store       *store
	limiter     *rate.Limiter
	host        *hoster.Host
	group       *errgroup.Group
	ctx         context.Context
	appends     atomic.Int64
	rateRefused atomic.Int64
	answersLost atomic.Int64
}

// Stats count appends: those that took effect, those refused by the rate limit and those whose acknowledgement was
// lost. Streams maps each stream to its first and next offset.
type Stats struct {
	Appends     int64               `json:"appends"`
	RateRefused int64               `json:"rate_refused"`
	AnswersLost int64               `json:"answers_lost"`
	Streams     map[string][2]int64 `json:"streams"`
}

// NewTable returns the fault table of the log.
func NewTable(name string) *faulter.Table {
	descriptions := hoster.CommonFaults()
	maps.Copy(descriptions, map[string]string{
		FaultOutage:           "all requests get status 503",
		FaultAppendOutage:     "appends get status 503, reads work",
		FaultRate:             "appends are limited to value per second",
		FaultLoseAppendAnswer: "an append is stored but not acknowledged: its connection is cut, with probability value",
		FaultLateAppend:       "an append's connection is cut at once and its record is stored value ms later (default 500)",
		FaultCutBeforeAppend:  "an append's connection is cut and nothing is stored, with probability value",
		FaultTrim:             "all but the newest value records of each stream are dropped once (default 0)",
	})
	return faulter.NewTable(name, descriptions)
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
	host.HookDownFault()
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
		Appends: l.appends.Load(), RateRefused: l.rateRefused.Load(), AnswersLost: l.answersLost.Load(),
		Streams: l.store.offsetRanges(),
	}
}

func (l *Log) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/streams/{name}/append", l.handleAppend)
	r.Get("/v1/streams/{name}", l.handleRead)
	return r
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || l.table.Triggers(FaultCutBeforeAppend) {
		hoster.Abort()
	}
	if l.faultOn(FaultOutage) || l.faultOn(FaultAppendOutage) {
		hoster.WriteError(w, http.StatusServiceUnavailable, &OutageError{})
		return
	}
	if !l.allowAppend() {
		l.rateRefused.Add(1)
		hoster.WriteError(w, http.StatusTooManyRequests, &RateError{})
		return
	}
	stream := chi.URLParam(r, "name")
	if value, on := l.table.Get(FaultLateAppend); on {
		l.answersLost.Add(1)
		l.appendLater(stream, data, value.MillisOr(defaultAppendDelay))
		hoster.Abort()
	}
	offset := l.store.append(stream, data)
	l.appends.Add(1)
	if l.table.Triggers(FaultLoseAppendAnswer) {
		l.answersLost.Add(1)
		hoster.Abort()
	}
	hoster.WriteJSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := parseQueryInt(r, "from", 0)
	limit, errLimit := parseQueryInt(r, "max", defaultPageSize)
	waitMS, errWait := parseQueryInt(r, "wait_ms", 0)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		hoster.WriteError(w, http.StatusBadRequest, err)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxPollWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		if l.faultOn(FaultOutage) {
			hoster.WriteError(w, http.StatusServiceUnavailable, &OutageError{})
			return
		}
		page, changed, err := l.store.read(chi.URLParam(r, "name"), from, int(min(limit, maxPageSize)))
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

func (l *Log) faultOn(fault string) bool {
	_, on := l.table.Get(fault)
	return on
}

// allowAppend reports whether the rate limit allows one more append. A fault can change the limit.
func (l *Log) allowAppend() bool {
	limit := rate.Limit(l.settings.AppendsPerSecond)
	if value, on := l.table.Get(FaultRate); on {
		limit = rate.Limit(value.NumberOr(1))
	}
	if l.limiter.Limit() != limit {
		l.limiter.SetLimit(limit)
	}
	return l.limiter.Allow()
}

func parseQueryInt(r *http.Request, field string, fallback int64) (int64, error) {
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
