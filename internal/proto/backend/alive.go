package backend

import "syscall"

// Alive reports whether an idle connection can still be used. It does not block. On
// an idle connection the server sends nothing until it closes the connection, so a
// received byte or a closed socket means that the connection is lost. A connection
// without a socket counts as alive.
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
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}
