// Package isolator keeps the requests suspected of crashing engines, and those convicted of it, by the fingerprint
// of their content (hash of workspace, entry and body).
package isolator
