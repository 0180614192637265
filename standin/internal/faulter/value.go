package faulter

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// Value is the parameter of a fault: a number or a string. Given is false if the request had none.
type Value struct {
	Number float64
	Text   string
	Given  bool
}

// UnmarshalJSON accepts a number, a string or null. It returns an *InvalidValueError for all else.
func (v *Value) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		*v = Value{}
		return nil
	}
	if json.Unmarshal(data, &v.Number) == nil || json.Unmarshal(data, &v.Text) == nil {
		v.Given = true
		return nil
	}
	return &InvalidValueError{Text: string(data)}
}

// MarshalJSON writes the value in the form in which it was given.
func (v Value) MarshalJSON() ([]byte, error) {
	if !v.Given {
		return []byte("null"), nil
	}
	if v.Text != "" {
		return json.Marshal(v.Text)
	}
	return json.Marshal(v.Number)
}

// Or returns the number, or fallback if the request had no value.
func (v Value) Or(fallback float64) float64 {
	if !v.Given {
		return fallback
	}
	return v.Number
}

// Millis returns the number as a duration in milliseconds, or fallback if the request had no value.
func (v Value) Millis(fallback time.Duration) time.Duration {
	if !v.Given {
		return fallback
	}
	return time.Duration(v.Number * float64(time.Millisecond))
}

// Roll returns true with the probability given by the number; no value means always.
func (v Value) Roll() bool {
	return rand.Float64() < v.Or(1)
}
