// Package generator simulates model engines with continuous batching and a prefix cache.
package generator

import "time"

// Settings configure one engine. WithDefaults replaces most values that are 0.
type Settings struct {
	Name       string `yaml:"name"`
	Address    string `yaml:"address"`
	DataCentre string `yaml:"data_centre"`
	// Models are the loaded models; if the list is empty, every model is accepted.
	Models []string `yaml:"models"`
	// BatchSlots is the maximum number of requests that run in one batch.
	BatchSlots int `yaml:"batch_slots"`
	// PrefillPerSecond is the number of uncached prompt tokens computed per second.
	PrefillPerSecond float64 `yaml:"prefill_per_second"`
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk int `yaml:"prefill_chunk"`
	// StepMS is the duration of a decode step, to which each decoding stream adds StepPerStreamMS.
	StepMS          float64 `yaml:"step_ms"`
	StepPerStreamMS float64 `yaml:"step_per_stream_ms"`
	// KVTokens is the memory shared by running streams and cached prefixes, in tokens.
	KVTokens int `yaml:"kv_tokens"`
	// LoadLagMS is the lag of load reports, EventLagMS the lag of cache events.
	LoadLagMS  int `yaml:"load_lag_ms"`
	EventLagMS int `yaml:"event_lag_ms"`
	// KeepFinishedMS is how long a finished stream can be resumed.
	KeepFinishedMS int `yaml:"keep_finished_ms"`
	// ModelLoadMS is the duration of loading a model on an order.
	ModelLoadMS int `yaml:"model_load_ms"`
	// ChecksFencing refuses orders with a stale fencing token. ChecksOrderer refuses orders from senders that aren't
	// in Orderers.
	ChecksFencing bool     `yaml:"checks_fencing"`
	ChecksOrderer bool     `yaml:"checks_orderer"`
	Orderers      []string `yaml:"orderers"`
	// PoisonMarker is a text that crashes the engine when a prompt that contains it runs.
	PoisonMarker string `yaml:"poison_marker"`
}

// Default returns the settings of a mid-range engine.
func Default() Settings {
	return Settings{
		Address: "127.0.0.1:0", BatchSlots: 16, PrefillPerSecond: 8000, PrefillChunk: 512, StepMS: 20,
		StepPerStreamMS: 0.5, KVTokens: 200_000, LoadLagMS: 500, EventLagMS: 500, KeepFinishedMS: 10_000,
		ModelLoadMS: 2000,
	}
}

// WithDefaults replaces an empty address, and speeds and sizes that are 0, by those of Default. A StepPerStreamMS, lag
// or model load time of 0 is kept.
func (s Settings) WithDefaults() Settings {
	defaults := Default()
	if s.Address == "" {
		s.Address = defaults.Address
	}
	if s.BatchSlots == 0 {
		s.BatchSlots = defaults.BatchSlots
	}
	if s.PrefillPerSecond == 0 {
		s.PrefillPerSecond = defaults.PrefillPerSecond
	}
	if s.PrefillChunk == 0 {
		s.PrefillChunk = defaults.PrefillChunk
	}
	if s.StepMS == 0 {
		s.StepMS = defaults.StepMS
	}
	if s.KVTokens == 0 {
		s.KVTokens = defaults.KVTokens
	}
	if s.KeepFinishedMS == 0 {
		s.KeepFinishedMS = defaults.KeepFinishedMS
	}
	return s
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
