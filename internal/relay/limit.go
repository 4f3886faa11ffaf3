package relay

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"time"
)

const (
	// maxRequestBytes limits one message of a request. It has room for a transaction with
	// the checkpoint of 900 workspaces.
	maxRequestBytes = 512 << 10
	// maxReplyBytes limits one message of a reply. It has room for a list of all servers.
	maxReplyBytes = 4 << 20
	// messageTimeout limits the time from the first to the last byte of a message.
	messageTimeout = 10 * time.Second
	// maxConnections limits the open connections of a relay. Each gate has two.
	maxConnections = 1024
)

var (
	errMessageTooLarge  = errors.New("the peer announced a message over the limit")
	errMalformedMessage = errors.New("the peer sent a malformed message length")
)

// limitedConn limits the size and the duration of the messages that a peer sends.
// encoding/gob itself accepts messages of up to a gigabyte and allocates megabytes for
// one whose length was announced only. limitedConn follows the lengths that precede gob
// messages and fails before gob allocates. Only one goroutine may read at a time.
type limitedConn struct {
	net.Conn
	maxBytes uint64
	// left is the rest of the current message.
	left uint64
	// prefix is the part of an incomplete length that was read.
	prefix []byte
	timed  bool // a read deadline is set
}

// maxPrefixBytes is the largest size of a length: a count and up to 8 bytes.
const maxPrefixBytes = 9

func newLimitedConn(conn net.Conn, maxBytes uint64) *limitedConn {
	return &limitedConn{Conn: conn, maxBytes: maxBytes, prefix: make([]byte, 0, maxPrefixBytes)}
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if followErr := c.follow(p[:n]); followErr != nil {
		return 0, followErr
	}
	if deadlineErr := c.updateDeadline(); err == nil {
		err = deadlineErr
	}
	return n, err
}

// follow advances over received bytes, message by message.
func (c *limitedConn) follow(p []byte) error {
	for len(p) > 0 {
		if c.left > 0 {
			skip := min(c.left, uint64(len(p)))
			c.left -= skip
			p = p[skip:]
			continue
		}
		c.prefix = append(c.prefix, p[0])
		p = p[1:]
		length, complete, err := gobLength(c.prefix)
		if err != nil {
			return err
		}
		if !complete {
			continue
		}
		if length > c.maxBytes {
			return fmt.Errorf("%w: %d bytes, limit %d", errMessageTooLarge, length, c.maxBytes)
		}
		c.left, c.prefix = length, c.prefix[:0]
	}
	return nil
}

// gobLength decodes an unsigned integer of encoding/gob: one byte below 128, or the negated
// number of bytes that follow, in big-endian order.
func gobLength(p []byte) (length uint64, complete bool, err error) {
	if p[0] < 0x80 {
		return uint64(p[0]), true, nil
	}
	size := -int(int8(p[0]))
	if size >= maxPrefixBytes {
		return 0, false, errMalformedMessage
	}
	if len(p) <= size {
		return 0, false, nil
	}
	for _, b := range p[1 : size+1] {
		length = length<<8 | uint64(b)
	}
	return length, true, nil
}

// updateDeadline sets a read deadline while a message is incomplete.
func (c *limitedConn) updateDeadline() error {
	incomplete := c.left > 0 || len(c.prefix) > 0
	if incomplete == c.timed {
		return nil
	}
	c.timed = incomplete
	if incomplete {
		return c.SetReadDeadline(time.Now().Add(messageTimeout))
	}
	return c.SetReadDeadline(time.Time{})
}

// errInternal is the error of a call whose method panicked. The call may have had an effect.
var errInternal = errors.New("internal error")

// RecoverCall is deferred by RPC methods. net/rpc does not recover from panics, so that one
// call could end the process. It logs the panic and makes the method return an error.
func RecoverCall(log *slog.Logger, method string, err *error) {
	if v := recover(); v != nil {
		log.Error("call panicked", "method", method, "panic", v, "stack", string(debug.Stack()))
		*err = errInternal
	}
}
