// Package receiver serves the HTTP API for callers: chat completions in the style of OpenAI, streamed or not, and the
// paths of the plain services in the catalogue.
package receiver
