// Package fakes holds in-memory stand-ins of the platform protocols. It is for tests only.
package fakes
