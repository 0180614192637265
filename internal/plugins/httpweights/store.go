// Package httpweights implements the weight store protocol over HTTP.
package httpweights

import (
	"context"
	"net/http"
	"net/url"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/plugins/requester"
)

// Name is the name of this plug-in in the registry of weight store protocols.
const Name = "httpweights"

func init() {
	kernel.WeightStores.Register(Name, New)
}

// Store is a client of the weight store.
type Store struct {
	client *requester.Client
}

// New returns a client of the weight store at "ip:port". Errors: *requester.InvalidAddressError.
func New(address string) (kernel.WeightStoreProtocol, func(), error) {
	client, closeClient, err := requester.New(address)
	if err != nil {
		return nil, nil, err
	}
	return &Store{client: client}, closeClient, nil
}

// Fetch requests the weights of a model. This can take long; only ctx limits it. Errors: *kernel.RateLimitedError,
// *kernel.NotSentError, *kernel.ConnectionLostError, *kernel.RejectedError.
func (s *Store) Fetch(ctx context.Context, model string) error {
	answer, err := s.client.Do(ctx, requester.Request{
		Method: http.MethodGet, Path: "/v1/weights/" + url.PathEscape(model),
	})
	switch {
	case err != nil:
		return err
	case answer.Status == http.StatusTooManyRequests:
		return &kernel.RateLimitedError{Operation: "fetch weights of " + model}
	case answer.Status != http.StatusOK:
		return s.client.Rejection(answer)
	}
	return nil
}
