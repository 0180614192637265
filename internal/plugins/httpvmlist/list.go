// Package httpvmlist implements the VM list protocol over HTTP.
package httpvmlist

import (
	"context"
	"net/http"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/plugins/requester"
)

// Name is the name of this plug-in in the registry of VM list protocols.
const Name = "httpvmlist"

// maxListBytes is the size limit of the list, which holds thousands of VMs.
const maxListBytes = 1 << 20

func init() {
	kernel.VMLists.Register(Name, New)
}

// List is a client of the VM list.
type List struct {
	client *requester.Client
}

// New returns a client of the VM list at "ip:port". Errors: *requester.InvalidAddressError.
func New(address string) (kernel.VMListProtocol, func(), error) {
	client, closeClient, err := requester.New(address)
	if err != nil {
		return nil, nil, err
	}
	return &List{client: client}, closeClient, nil
}

// VMs returns the VMs in the list. Errors: *kernel.NotSentError, *kernel.ConnectionLostError, *kernel.RejectedError.
func (l *List) VMs(ctx context.Context) ([]kernel.VM, error) {
	var body struct {
		VMs []kernel.VM `json:"vms"`
	}
	err := l.client.Fetch(ctx, requester.Request{
		Method: http.MethodGet, Path: "/v1/vms", MaxAnswerBytes: maxListBytes,
	}, &body)
	return body.VMs, err
}
