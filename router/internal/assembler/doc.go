// Package assembler builds a router from its settings and runs it until it is stopped.
package assembler
