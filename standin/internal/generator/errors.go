package generator

import "fmt"

// DuplicateStreamError reports a stream id that this engine instance has seen before.
type DuplicateStreamError struct {
	StreamID string
}

func (e *DuplicateStreamError) Error() string {
	return fmt.Sprintf("generate stream %s: the id was used before", e.StreamID)
}

// ModelNotLoadedError reports a request for a model that the engine doesn't have.
type ModelNotLoadedError struct {
	Model string
}

func (e *ModelNotLoadedError) Error() string {
	return fmt.Sprintf("generate: model %q is not loaded", e.Model)
}

// InvalidRequestError reports a request with a missing or impossible field.
type InvalidRequestError struct {
	Reason string
}

func (e *InvalidRequestError) Error() string {
	return "read request: " + e.Reason
}

// UnknownStreamError reports a stream id that is not kept.
type UnknownStreamError struct {
	StreamID string
}

func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("stream %s is not known", e.StreamID)
}

// StreamEndedError reports a stream that was cancelled or lost in a crash before its final frame.
type StreamEndedError struct {
	StreamID string
}

func (e *StreamEndedError) Error() string {
	return fmt.Sprintf("stream %s ended before its final frame", e.StreamID)
}

// StaleOrderError reports an order with a fencing number below the highest accepted one.
type StaleOrderError struct {
	Fencing, Highest int64
}

func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order with fencing number %d: %d was accepted before", e.Fencing, e.Highest)
}

// ForeignOrdererError reports an order from a sender that isn't on the engine's list.
type ForeignOrdererError struct {
	Orderer string
}

func (e *ForeignOrdererError) Error() string {
	return fmt.Sprintf("order of %q: not an accepted orderer", e.Orderer)
}

// UnknownPrefixError reports the export of a prefix that isn't cached.
type UnknownPrefixError struct {
	Hash uint64
}

func (e *UnknownPrefixError) Error() string {
	return fmt.Sprintf("export prefix %d: not cached", e.Hash)
}

// InjectedError reports an answer that a fault asked for.
type InjectedError struct {
	Fault string
}

func (e *InjectedError) Error() string {
	return "injected fault " + e.Fault
}
