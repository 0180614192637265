// Package messenger carries the messages between routers: client and server of the RouterService over HTTP/2, with or
// without TLS, and the pump that drives one end of a Schedule stream.
package messenger
