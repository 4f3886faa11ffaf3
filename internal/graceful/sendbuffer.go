package graceful

import (
	"errors"
	"net/http"
	"syscall"
)

// sendBufferBytes is the size of the send buffers at the end of a shutdown. The kernel lowers it to
// its own limit (net.core.wmem_max).
const sendBufferBytes = 4 << 20

// RaiseSendBuffers enlarges the send buffers of connections with a request in progress. The kernel
// sends what they hold after the connection is closed, also after the process has ended, so that a
// caller that reads slowly gets the rest of its response.
func (s *Conns) RaiseSendBuffers() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for conn := range s.open {
		errs = append(errs, conn.raiseSendBuffer())
	}
	return errors.Join(errs...)
}

// raiseSendBuffer does nothing for a connection without a request or a socket.
func (c *Conn) raiseSendBuffer() error {
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
		var size int
		size, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
		// A size that is set stays fixed, and the kernel may have chosen a larger one by itself.
		if optionErr == nil && size < sendBufferBytes {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
		}
	})
	return errors.Join(err, optionErr)
}
