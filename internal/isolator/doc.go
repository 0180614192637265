// Package isolator tracks requests that crash engines, by the fingerprint of their content (a hash of workspace, entry
// and body). A request that was in flight when an engine crashed is a suspect; once it is found to be the cause, it is
// poison. Messages between routers call a poison request convicted.
package isolator
