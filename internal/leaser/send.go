package leaser

import (
	"context"
	"errors"

	"coltsfootplank/internal/kernel"
)

// send appends a record once. A lost acknowledgement is not an error, because the record is read back if the append
// took effect. The append is not retried, because the TTL of the lease runs from before the first attempt.
func (l *Leaser) send(ctx context.Context, data []byte) error {
	_, err := l.log.Append(ctx, Stream, data)
	var unknown *kernel.AppendOutcomeUnknownError
	if errors.As(err, &unknown) {
		return nil
	}
	return err
}
