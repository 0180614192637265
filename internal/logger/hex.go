package logger

import (
	"strconv"

	"go.uber.org/zap"
)

// Hex returns a field with a hash in hexadecimal.
func Hex(name string, hash uint64) zap.Field { return zap.String(name, strconv.FormatUint(hash, 16)) }

// HexList returns a field with a list of hashes in hexadecimal.
func HexList(name string, hashes []uint64) zap.Field {
	texts := make([]string, len(hashes))
	for i, hash := range hashes {
		texts[i] = strconv.FormatUint(hash, 16)
	}
	return zap.Strings(name, texts)
}
