// Package fakes provides in-memory fakes of the log and of the network between routers, with injected faults. It is for
// tests only.
package fakes
