// Package receiver serves the callers' HTTP API: token streams in the style of the OpenAI chat completions, and
// the paths of the plain services in the catalogue.
package receiver
