// Package subscriber follows the operator's configuration and the registrations of upstreams in the platform's
// directory and provides them as a RoutingConfig and a catalogue. A router that can't read the directory gets both from
// its peers.
package subscriber
