package generator

import "fmt"

// DuplicateStreamError reports a stream id that this engine instance has already received.
type DuplicateStreamError struct {
	StreamID string
}

func (e *DuplicateStreamError) Error() string {
	return fmt.Sprintf("generate stream %s: the id has already been used", e.StreamID)
}

// ModelNotLoadedError reports a request for a model that the engine hasn't loaded.
type ModelNotLoadedError struct {
	Model string
}

func (e *ModelNotLoadedError) Error() string {
	return fmt.Sprintf("generate: model %q is not loaded", e.Model)
}

// InvalidRequestError reports a request with a missing or invalid field.
type InvalidRequestError struct {
	Reason string
}

func (e *InvalidRequestError) Error() string {
	return "read request: " + e.Reason
}

// UnknownStreamError reports a stream id that is unknown or no longer kept.
type UnknownStreamError struct {
	StreamID string
}

func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("stream %s is unknown", e.StreamID)
}

// StreamEndedError reports a stream that was cancelled or lost in a crash before its final frame.
type StreamEndedError struct {
	StreamID string
}

func (e *StreamEndedError) Error() string {
	return fmt.Sprintf("stream %s ended before its final frame", e.StreamID)
}

// StaleOrderError reports an order with a fencing token below the highest accepted one.
type StaleOrderError struct {
	Fencing, Highest int64
}

func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order with fencing token %d: token %d was already accepted", e.Fencing, e.Highest)
}

// UnknownOrdererError reports an order from a sender that isn't in the engine's list of orderers.
type UnknownOrdererError struct {
	Orderer string
}

func (e *UnknownOrdererError) Error() string {
	return fmt.Sprintf("order from %q: not in the list of orderers", e.Orderer)
}

// UnknownPrefixError reports an export of a prefix that isn't cached.
type UnknownPrefixError struct {
	Hash uint64
}

func (e *UnknownPrefixError) Error() string {
	return fmt.Sprintf("export prefix %d: not cached", e.Hash)
}

// InjectedError is the error response that a fault injects.
type InjectedError struct {
	Fault string
}

func (e *InjectedError) Error() string {
	return "injected fault " + e.Fault
}
