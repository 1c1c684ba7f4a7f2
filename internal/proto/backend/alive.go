package backend

import "syscall"

// Alive reports whether an idle connection can still be used. It does not wait for data.
// It must not be called while another goroutine reads from the connection, because it
// would block until that read returns. A server rarely sends anything on an idle
// connection except an error before it closes the connection, so unread data counts as a
// lost connection, as a closed socket does. A connection without a socket counts as alive
// if no data is buffered.
func (c *Conn) Alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		// EAGAIN means that the socket is open and has no data. The result is always
		// true, because raw.Read would wait for data after false.
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}
