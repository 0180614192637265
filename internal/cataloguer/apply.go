package cataloguer

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"coltsfootplank/internal/kernel"
)

const (
	// appendTimeout limits one append, so that waiting for a lost acknowledgement doesn't use up the caller's deadline.
	appendTimeout = 5 * time.Second
	// retryInterval is the time between two appends of the same record. It is well above the duration of a read, so
	// that reading usually shows the outcome of an append whose acknowledgement was lost.
	retryInterval = 300 * time.Millisecond
)

// Apply replaces the catalogue if its revision is still base. It returns the new revision and its offset once the
// record of the edit has been read back as accepted. If the given catalogue equals the current one, there is no new
// revision and Apply returns the current one. Errors: ValidationErrors, *ConflictError, *kernel.LogUnavailableError if
// the edit certainly had no effect, *OutcomeUnknownError if ctx was done before the outcome was known.
func (c *Cataloguer) Apply(ctx context.Context, base uint64, editor string, yaml []byte) (uint64, int64, error) {
	wanted, err := Parse(yaml)
	if err != nil {
		return 0, 0, err
	}
	if !c.Complete() || !c.Healthy() {
		return 0, 0, &kernel.LogUnavailableError{Operation: "apply", Cause: &IncompleteError{Revision: c.Current().Revision}}
	}
	current := c.Current()
	if current.Revision != base {
		return 0, 0, &ConflictError{Base: base, Current: current.Revision}
	}
	changes := Diff(current, wanted)
	if changes.Empty() {
		return current.Revision, current.Offset, nil
	}
	record := &logRecord{
		Kind:           recordEdit,
		AppendedUnixMS: c.options.Now().UnixMilli(),
		BaseRevision:   base,
		Nonce:          uuid.NewString(),
		Editor:         editor,
		Changes:        changes,
	}
	data, err := record.encode()
	if err != nil {
		return 0, 0, err
	}
	return c.submit(ctx, record, data)
}

// submit appends the record, again if necessary, until the outcome of the edit is known or ctx is done. Repeating the
// append is safe: the nonce identifies the edit, and a second copy has an outdated base if the first was accepted.
func (c *Cataloguer) submit(ctx context.Context, record *logRecord, data []byte) (uint64, int64, error) {
	var cause error
	mayHaveEffect := false
	for ctx.Err() == nil {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := c.log.Append(appendCtx, Stream, data)
		cancel()
		var unavailable *kernel.LogUnavailableError
		var rateLimited *kernel.RateLimitedError
		switch {
		case err == nil:
			mayHaveEffect = true
			entry, decided, err := c.awaitOutcome(ctx, record, 0)
			if decided {
				return entry.Revision, entry.Offset, err
			}
			continue
		case errors.As(err, &unavailable):
			if !mayHaveEffect {
				return 0, 0, unavailable
			}
		case !errors.As(err, &rateLimited):
			mayHaveEffect = true
		}
		cause = err
		if entry, decided, err := c.awaitOutcome(ctx, record, retryInterval); decided {
			return entry.Revision, entry.Offset, err
		}
	}
	if cause == nil {
		cause = ctx.Err()
	}
	if !mayHaveEffect {
		return 0, 0, &kernel.LogUnavailableError{Operation: "append", Cause: cause}
	}
	return 0, 0, &OutcomeUnknownError{Nonce: record.Nonce, Cause: cause}
}

// awaitOutcome waits until the edit is decided, ctx is done or limit has passed; a limit of 0 means no limit. The
// bool is false if the edit is still undecided.
func (c *Cataloguer) awaitOutcome(ctx context.Context, record *logRecord, limit time.Duration) (HistoryEntry, bool, error) {
	var expired <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		c.mu.Lock()
		entry, decided, err := c.fold.outcome(record.Nonce, record.BaseRevision)
		changed := c.changed
		c.mu.Unlock()
		if decided {
			return entry, true, err
		}
		select {
		case <-changed:
		case <-expired:
			return HistoryEntry{}, false, nil
		case <-ctx.Done():
			return HistoryEntry{}, false, nil
		}
	}
}

// RefreshSnapshot appends a snapshot if the oldest record that a new reader needs is older than half of the retention,
// and waits until the snapshot has been read back. Snapshots appended by several routers do no harm.
func (c *Cataloguer) RefreshSnapshot(ctx context.Context) error {
	if c.options.Retention <= 0 || !c.Complete() {
		return nil
	}
	now := c.options.Now()
	c.mu.Lock()
	s := c.fold.snapshot()
	c.mu.Unlock()
	if s.Catalogue.Revision == 0 || now.Sub(time.UnixMilli(s.BaseUnixMS)) < c.options.Retention/2 {
		return nil
	}
	record := &logRecord{Kind: recordSnapshot, AppendedUnixMS: now.UnixMilli(), Snapshot: s}
	data, err := record.encode()
	if err != nil {
		return err
	}
	offset, err := c.log.Append(ctx, Stream, data)
	if err != nil {
		return err
	}
	return c.follower.WaitFor(ctx, offset)
}
