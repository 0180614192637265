package leaser

import (
	"context"
	"errors"

	"coltsfootplank/internal/kernel"
)

// send appends a record once. An append whose answer is lost is no error: the record is read back if it took
// effect. It is not repeated, since the lease time counts from before the first append.
func (l *Leaser) send(ctx context.Context, data []byte) error {
	_, err := l.log.Append(ctx, Stream, data)
	var unknown *kernel.AppendUnknownError
	if errors.As(err, &unknown) {
		return nil
	}
	return err
}
