// Package assembler builds a router from its settings and runs it until its planned stop.
package assembler
