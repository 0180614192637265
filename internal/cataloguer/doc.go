// Package cataloguer maintains the catalogue of workspaces, pools and works. It validates the entries and derives the
// current revision from the edits on the log.
package cataloguer
