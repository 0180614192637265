package logger

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(data)
}

// TestBlockedOutput guards against callers that block when the log's output does, and against dropped lines that aren't
// counted.
func TestBlockedOutput(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	l, closeLogger, err := New(Settings{Level: "info", Format: "json", Name: "r"}, out)
	assert.NilError(t, err)
	const lines = 400
	message := strings.Repeat("x", 4<<10)
	began := time.Now()
	for i := range lines {
		// All lines have the same message, so sampling drops some of them.
		l.Info(message, zap.Int("i", i))
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	full, sampled := l.Dropped()
	close(out.unblock)
	closeLogger()
	written := strings.Count(out.written.String(), "\n")
	assert.Equal(t, int64(written)+full+sampled, int64(lines))
	assert.Assert(t, full > 0 && sampled > 0)
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(strings.SplitN(out.written.String(), "\n", 2)[0]), &line))
	assert.Equal(t, line["router"], "r")
}

// TestLevel guards against a change of the level that has no effect, and against an unknown level being accepted.
func TestLevel(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	l, closeLogger, err := New(Settings{Level: "info", Format: "json", Name: "r"}, out)
	assert.NilError(t, err)
	l.Debug("one")
	assert.NilError(t, l.SetLevel("debug"))
	l.Debug("two")
	assert.Assert(t, l.SetLevel("loud") != nil)
	closeLogger()
	assert.Assert(t, !strings.Contains(out.written.String(), "one"))
	assert.Assert(t, strings.Contains(out.written.String(), "two"))
}

// TestLongTexts guards against lines of any length from errors and texts that quote what an upstream or a caller sent, and
// against cutting the usual ones.
func TestLongTexts(t *testing.T) {
	long := strings.Repeat("é", 100_000)
	cases := []struct {
		name  string
		field zap.Field
		want  int
	}{
		{"text", zap.String("field", long), maxTextBytes + len(cutMark)},
		{"error", zap.Error(errs.New("%s", long)), maxTextBytes + len(cutMark)},
		{"text at the limit", zap.String("field", long[:maxTextBytes]), maxTextBytes},
	}
	for _, c := range cases {
		for _, with := range []bool{false, true} {
			var out bytes.Buffer
			l, closeLogger, err := New(Settings{Level: "info", Format: "json", Name: "r"}, &out)
			assert.NilError(t, err)
			if with {
				l.With(c.field).Info("message")
			} else {
				l.Info("message", c.field)
			}
			closeLogger()
			var line map[string]string
			assert.NilError(t, json.Unmarshal(out.Bytes(), &line), c.name)
			assert.Equal(t, len(line["field"]+line["error"]), c.want, c.name)
			assert.Equal(t, line["errorVerbose"], "", c.name)
			assert.Equal(t, line["msg"], "message")
		}
	}
}
