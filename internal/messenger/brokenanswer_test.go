package messenger

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// Types and flags of HTTP/2 frames.
const (
	dataFrame, headersFrame, settingsFrame = 0, 1, 4
	endStream, endHeaders                  = 1, 4
)

func frame(kind, flags byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	return string(binary.BigEndian.AppendUint32(append(head, flags), stream)) + payload
}

// fields encodes names and values without compression.
func fields(pairs ...string) (text string) {
	for i, pair := range pairs {
		if i%2 == 0 {
			text += "\x00"
		}
		text += string(byte(len(pair))) + pair
	}
	return text
}

// TestBrokenAnswerOfPeer guards against taking an answer of another router with a broken head, or a part of one, for a whole one.
func TestBrokenAnswerOfPeer(t *testing.T) {
	sound := []string{":status", "200", "content-type", "application/proto"}
	body := frame(dataFrame, 0, 1, "\x08\x01")
	for _, c := range []struct {
		name string
		head []string
		body string
		// reset ends the connection with a reset after the body.
		reset, whole bool
	}{
		{"sound", sound, body + frame(dataFrame, endStream, 1, ""), false, true},
		{"status 000", []string{":status", "000", "content-type", "application/proto"}, body + frame(dataFrame, endStream, 1, ""), false, false},
		{"space in a name", append(sound, "a b", "c"), body + frame(dataFrame, endStream, 1, ""), false, false},
		{"control byte in a name", append(sound, "a\x01b", "c"), body + frame(dataFrame, endStream, 1, ""), false, false},
		{"reset", sound, body, true, false},
		{"end of the connection", sound, body, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var group errgroup.Group
			group.Go(func() error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				_, _ = io.ReadAtLeast(conn, make([]byte, 1<<10), 100)
				_, _ = io.WriteString(conn, frame(settingsFrame, 0, 0, "")+frame(headersFrame, endHeaders, 1, fields(c.head...))+c.body)
				time.Sleep(50 * time.Millisecond)
				if c.reset {
					return errors.Join(conn.(*net.TCPConn).SetLinger(0), conn.Close())
				}
				return conn.Close()
			})
			defer func() { _ = listener.Close(); assert.NilError(t, group.Wait()) }()
			pool, closePool := NewPool(nil)
			defer closePool()
			_, err = pool.Snapshot(t.Context(), listener.Addr().String(), &protocol.SnapshotRequest{AboveRevision: 1})
			assert.Equal(t, err == nil, c.whole, "%v", err)
		})
	}
}
