package kernel

import "fmt"

const (
	// offsetBits is the number of bits of a Position that hold the offset.
	offsetBits = 40
	// MaxEra is the highest era that a Position can hold. Later eras count as this one.
	MaxEra = 1<<(63-offsetBits) - 1
)

// Position is where a record stands in a topic of the directory: the era, in the upper bits, and the offset in it. The directory
// begins a new era each time it is restored from a copy, and gives out again the offsets of the records that it has lost. So
// positions are in the order of time, as offsets alone are not.
type Position int64

// PositionOf returns the position of an offset in an era.
func PositionOf(era, offset int64) Position {
	return Position(max(0, min(era, MaxEra))<<offsetBits + offset)
}

// Era returns how often the directory had been restored from a copy; 0 if it doesn't state it.
func (p Position) Era() int64 { return int64(p >> offsetBits) }

// Offset returns the offset in the era.
func (p Position) Offset() int64 { return int64(p) & (1<<offsetBits - 1) }

func (p Position) String() string {
	if p < 0 {
		return "none"
	}
	return fmt.Sprintf("%d in era %d", p.Offset(), p.Era())
}
