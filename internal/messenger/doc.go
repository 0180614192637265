// Package messenger carries the messages between routers: the RouterService over unencrypted HTTP/2 or TLS,
// and the pump that drives one end of a Schedule stream.
package messenger
