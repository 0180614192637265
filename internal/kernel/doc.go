// Package kernel holds the plug-in registries and the interfaces of the platform protocols.
//
// A protocol adapter is one package that registers a factory from its init function; a program enables it
// with one blank import.
package kernel
