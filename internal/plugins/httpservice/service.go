// Package httpservice implements the protocol of plain services over HTTP.
package httpservice

import (
	"context"
	"net/http"
	"strings"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/plugins/requester"
)

// Name is the name of this plug-in in the registry of service protocols.
const Name = "httpservice"

// pathPrefix is the prefix of all request paths.
const pathPrefix = "/v1/"

func init() {
	kernel.Services.Register(Name, New)
}

// Service is a client of one plain service.
type Service struct {
	client *requester.Client
}

// New returns a client of the service at "ip:port". Errors: *requester.InvalidAddressError.
func New(address string) (kernel.ServiceProtocol, func(), error) {
	client, closeClient, err := requester.New(address)
	if err != nil {
		return nil, nil, err
	}
	return &Service{client: client}, closeClient, nil
}

// Call sends one request on a new connection, so that the transport never sends it again. The path may be given with or
// without the prefix "/v1/". Errors: *kernel.NotSentError, *kernel.ConnectionLostError.
func (s *Service) Call(ctx context.Context, request kernel.ServiceRequest) (kernel.ServiceResponse, error) {
	path := strings.TrimPrefix("/"+strings.TrimPrefix(request.Path, "/"), pathPrefix)
	answer, err := s.client.Do(ctx, requester.Request{
		Method: request.Method, Path: pathPrefix + strings.TrimPrefix(path, "/"), ContentType: request.ContentType,
		Header: map[string]string{"X-Request-Id": request.RequestID}, Body: request.Body, NewConnection: true,
		MaxAnswerBytes: requester.MaxBulkAnswerBytes,
	})
	if err != nil {
		return kernel.ServiceResponse{}, err
	}
	return kernel.ServiceResponse{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// Load returns the service's load report.
func (s *Service) Load(ctx context.Context) (kernel.LoadReport, error) {
	var report kernel.LoadReport
	err := s.client.Fetch(ctx, requester.Request{Method: http.MethodGet, Path: "/v1/load"}, &report)
	return report, err
}
