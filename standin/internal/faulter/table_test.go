package faulter

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSetUnknown guards against accepting a misspelt target or fault, and against setting a fault on only some members
// of a group.
func TestSetUnknown(t *testing.T) {
	directory := NewDirectory()
	directory.Add(NewTable("a", map[string]string{"x": "", "only_a": ""}), "group")
	directory.Add(NewTable("b", map[string]string{"x": ""}), "group")
	var target *UnknownTargetError
	assert.Assert(t, errors.As(directory.Set("c", "x", Value{}, 0), &target))
	assert.DeepEqual(t, target.Known, []string{"a", "b", "group"})
	var fault *UnknownFaultError
	assert.Assert(t, errors.As(directory.Set("group", "only_a", Value{}, 0), &fault))
	assert.DeepEqual(t, fault.Known, []string{"x"})
	assert.Equal(t, len(directory.ActiveFaults()), 0)
	assert.NilError(t, directory.Set("group", "x", Value{}, 0))
	assert.Equal(t, len(directory.ActiveFaults()), 2)
}

// TestExpiry guards against a fault that stays on after its duration, and against Wait not returning when the fault
// expires or is cleared.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("a", map[string]string{"x": ""})
		assert.NilError(t, table.Set("x", Value{}, time.Second))
		started := time.Now()
		assert.NilError(t, table.Wait(t.Context(), "x"))
		assert.Equal(t, time.Since(started), time.Second)
		_, on := table.Get("x")
		assert.Assert(t, !on)

		assert.NilError(t, table.Set("x", Value{}, 0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		assert.ErrorIs(t, table.Wait(ctx, "x"), context.DeadlineExceeded)
		time.AfterFunc(time.Minute, func() { table.Clear("x") })
		assert.NilError(t, table.Wait(t.Context(), "x"))
	})
}

// TestValue guards against reading a value of the wrong type as 0.
func TestValue(t *testing.T) {
	cases := []struct {
		text    string
		want    Value
		invalid bool
	}{
		{text: "2.5", want: Value{Number: 2.5, Given: true}},
		{text: `"mark"`, want: Value{Text: "mark", Given: true}},
		{text: "null", want: Value{}},
		{text: "[1]", invalid: true},
	}
	for _, c := range cases {
		var value Value
		err := json.Unmarshal([]byte(c.text), &value)
		assert.Equal(t, err != nil, c.invalid, c.text)
		if !c.invalid {
			assert.Equal(t, value, c.want, c.text)
		}
	}
	assert.Equal(t, Value{}.NumberOr(7), 7.0)
	assert.Equal(t, Value{Given: true}.NumberOr(7), 0.0)
}
