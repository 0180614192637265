package faulter

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// Value is the parameter of a fault: a number or a string. Given is false if the request contained no value.
type Value struct {
	Number float64
	Text   string
	Given  bool
}

// UnmarshalJSON accepts a number, a string or null. It returns an *InvalidValueError for any other type.
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

// NumberOr returns the number, or fallback if no value was given.
func (v Value) NumberOr(fallback float64) float64 {
	if !v.Given {
		return fallback
	}
	return v.Number
}

// MillisOr returns the number as a duration in milliseconds, or fallback if no value was given.
func (v Value) MillisOr(fallback time.Duration) time.Duration {
	if !v.Given {
		return fallback
	}
	return time.Duration(v.Number * float64(time.Millisecond))
}

// Sample returns true with a probability equal to the number, and always if no value was given.
func (v Value) Sample() bool {
	return rand.Float64() < v.NumberOr(1)
}
