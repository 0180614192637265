// Package subscriber follows the operator's configuration and the registrations of upstreams in the platform's directory
// and publishes them as a plan and a catalogue. A router that can't read the directory takes both over from its peers.
package subscriber
