// Package logger writes structured log lines without ever blocking the code that logs: lines go through a bounded queue,
// and lines that don't fit are dropped and counted.
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Error is the class of errors from creating or configuring a logger.
var Error = errs.Class("logger")

const (
	// queueBytes is the maximum size of the lines that wait to be written.
	queueBytes = 256 << 10
	// flushInterval is how long a line may wait, so that many lines are written with one call.
	flushInterval = 200 * time.Millisecond
	// Of the lines with the same message, the first sampledPerSecond in each second are logged, then every
	// sampleRest-th.
	sampledPerSecond = 200
	sampleRest       = 50
)

// Settings configure a logger.
type Settings struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
	// Name is the router's name, which is added to each line.
	Name string
}

// Logger is a zap logger that counts dropped lines and whose level can be changed.
type Logger struct {
	*zap.Logger
	level zap.AtomicLevel
	queue *queue
	// sampled counts the lines dropped by sampling.
	sampled atomic.Int64
}

// New returns a logger that writes to out, and a function that writes the pending lines and closes the logger.
func New(settings Settings, out io.Writer) (*Logger, func(), error) {
	level, err := zap.ParseAtomicLevel(settings.Level)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if settings.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	l := &Logger{level: level, queue: &queue{out: out}}
	core := zapcore.NewSamplerWithOptions(boundedCore{zapcore.NewCore(encoder, l.queue, level)}, time.Second, sampledPerSecond, sampleRest,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				l.sampled.Add(1)
			}
		}))
	l.Logger = zap.New(core, zap.ErrorOutput(l.queue)).With(zap.String("router", settings.Name))
	return l, l.queue.close, nil
}

// SetLevel changes the lowest level that is logged.
func (l *Logger) SetLevel(text string) error {
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		return Error.Wrap(err)
	}
	l.level.SetLevel(level)
	return nil
}

// Dropped returns the number of lines that didn't fit into the queue and the number dropped by sampling.
func (l *Logger) Dropped() (full, sampled int64) { return l.queue.dropped.Load(), l.sampled.Load() }

// queue collects lines and writes them in batches.
type queue struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	timer   *time.Timer
	closed  bool
	writing sync.Mutex
}

// Write queues a line without waiting for the output. It drops the line if the queue is full or closed.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.pending)+len(line) > queueBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	if q.timer == nil {
		q.timer = time.AfterFunc(flushInterval, q.flush)
	}
	return len(line), nil
}

// Sync does nothing, because pending lines are written within flushInterval.
func (q *queue) Sync() error { return nil }

// flush writes the pending lines.
func (q *queue) flush() {
	q.writing.Lock()
	defer q.writing.Unlock()
	q.mu.Lock()
	lines := q.pending
	q.pending, q.timer = nil, nil
	q.mu.Unlock()
	// There is no other place to report a failed write of the log.
	_, _ = q.out.Write(lines)
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	if q.timer != nil {
		q.timer.Stop()
	}
	q.mu.Unlock()
	q.flush()
}
