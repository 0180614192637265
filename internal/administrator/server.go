// Package administrator serves the administration API: catalogue, state dump and planned stop.
//
// Status codes: aborted for an edit of an old revision, invalid_argument for an invalid catalogue, unavailable
// if the log could not be used and nothing was changed, unknown if the edit may have taken effect, not_found
// for an unknown state section, internal for all other errors.
package administrator

import (
	"context"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/protocol"
)

// Default and maximum number of history rows in one answer.
const (
	defaultHistoryRows = 20
	maxHistoryRows     = 1000
)

// Server implements the AdminService.
type Server struct {
	catalogue Catalogue
	dumper    Dumper
	drainer   Drainer
}

// New returns a server for the given components of a router.
func New(catalogue Catalogue, dumper Dumper, drainer Drainer) *Server {
	return &Server{catalogue: catalogue, dumper: dumper, drainer: drainer}
}

// GetCatalogue returns the newest catalogue revision that this router knows.
func (s *Server) GetCatalogue(context.Context, *protocol.GetCatalogueRequest) (*protocol.GetCatalogueResponse, error) {
	current := s.catalogue.Current()
	text, err := current.Marshal()
	if err != nil {
		return nil, connectError(err)
	}
	return &protocol.GetCatalogueResponse{Revision: current.Revision, Offset: current.Offset, Yaml: string(text)}, nil
}

// ApplyCatalogue replaces the catalogue, or only checks the new one.
func (s *Server) ApplyCatalogue(ctx context.Context, request *protocol.ApplyCatalogueRequest) (*protocol.ApplyCatalogueResponse, error) {
	if request.Editor == "" {
		return nil, connectError(&MissingEditorError{})
	}
	text := []byte(request.Yaml)
	if request.ValidateOnly {
		if _, err := cataloguer.Parse(text); err != nil {
			return nil, connectError(err)
		}
		return &protocol.ApplyCatalogueResponse{}, nil
	}
	revision, offset, err := s.catalogue.Apply(ctx, request.BaseRevision, request.Editor, text)
	if err != nil {
		return nil, connectError(err)
	}
	return &protocol.ApplyCatalogueResponse{Revision: revision, Offset: offset}, nil
}

// History returns the last edits, newest first.
func (s *Server) History(_ context.Context, request *protocol.HistoryRequest) (*protocol.HistoryResponse, error) {
	limit := min(int(request.Limit), maxHistoryRows)
	if limit == 0 {
		limit = defaultHistoryRows
	}
	response := &protocol.HistoryResponse{}
	for _, row := range s.catalogue.History(limit) {
		response.Entries = append(response.Entries, &protocol.HistoryEntry{
			Revision: row.Revision, Offset: row.Offset, Editor: row.Editor, Accepted: row.Accepted,
			Reason: row.Reason, AppliedUnixMs: row.AppliedUnixMS,
		})
	}
	return response, nil
}

// Dump returns the state of this router as JSON.
func (s *Server) Dump(_ context.Context, request *protocol.DumpRequest) (*protocol.DumpResponse, error) {
	text, err := s.dumper.Dump(request.Section)
	if err != nil {
		return nil, connectError(err)
	}
	return &protocol.DumpResponse{Json: string(text)}, nil
}

// Drain starts the planned stop.
func (s *Server) Drain(context.Context, *protocol.DrainRequest) (*protocol.DrainResponse, error) {
	if err := s.drainer.Drain(); err != nil {
		return nil, connectError(err)
	}
	return &protocol.DrainResponse{}, nil
}
