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

// TestSetUnknown guards against a misspelt target or fault being accepted, and against a group being half set.
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
	assert.Equal(t, len(directory.List()), 0)
	assert.NilError(t, directory.Set("group", "x", Value{}, 0))
	assert.Equal(t, len(directory.List()), 2)
}

// TestExpiry guards against a fault that outlives its time, and against Wait missing the end or a clear.
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

// TestValue guards against a value of the wrong type being read as 0.
func TestValue(t *testing.T) {
	cases := []struct {
		text string
		want Value
		bad  bool
	}{
		{text: "2.5", want: Value{Number: 2.5, Given: true}},
		{text: `"mark"`, want: Value{Text: "mark", Given: true}},
		{text: "null", want: Value{}},
		{text: "[1]", bad: true},
	}
	for _, c := range cases {
		var value Value
		err := json.Unmarshal([]byte(c.text), &value)
		assert.Equal(t, err != nil, c.bad, c.text)
		if !c.bad {
			assert.Equal(t, value, c.want, c.text)
		}
	}
	assert.Equal(t, Value{}.Or(7), 7.0)
	assert.Equal(t, Value{Given: true}.Or(7), 0.0)
}
