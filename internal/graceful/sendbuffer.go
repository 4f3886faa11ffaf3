package graceful

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"strconv"
	"syscall"
)

const (
	// sendBufferBytes is the size of the send buffers at the end of a shutdown.
	sendBufferBytes = 4 << 20
	// sendBufferLimitFile has the kernel's limit on sizes that are set, in bytes.
	sendBufferLimitFile = "/proc/sys/net/core/wmem_max"
	// defaultSendBufferLimit is that limit where the file cannot be read.
	defaultSendBufferLimit = 212992
)

// sendBufferLimit returns the kernel's limit on sizes of send buffers that are set.
func sendBufferLimit() int {
	text, err := os.ReadFile(sendBufferLimitFile)
	if err != nil {
		return defaultSendBufferLimit
	}
	limit, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err != nil {
		return defaultSendBufferLimit
	}
	return limit
}

// raisedSendBuffer returns the size to set for a buffer whose size the kernel reports as current, 0
// for none. The kernel reports twice the size that is set. Its own choice can be larger than the
// largest size that may be set, which would then shrink the buffer for good.
func raisedSendBuffer(current, limit int) int {
	size := min(sendBufferBytes, limit)
	if 2*size <= current {
		return 0
	}
	return size
}

// RaiseSendBuffers enlarges the send buffers of connections with a request in progress. The kernel
// sends what they hold after the connection is closed, also after the process has ended, so that a
// caller that reads slowly gets the rest of its response.
func (s *Conns) RaiseSendBuffers() error {
	limit := sendBufferLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for conn := range s.open {
		errs = append(errs, conn.raiseSendBuffer(limit))
	}
	return errors.Join(errs...)
}

// raiseSendBuffer does nothing for a connection without a request or a socket. limit is that of the
// kernel.
func (c *Conn) raiseSendBuffer(limit int) error {
	c.mu.Lock()
	active := c.state == http.StateActive
	c.mu.Unlock()
	socket, ok := c.Conn.(syscall.Conn)
	if !active || !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		var current int
		current, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
		if size := raisedSendBuffer(current, limit); optionErr == nil && size > 0 {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
		}
	})
	return errors.Join(err, optionErr)
}
