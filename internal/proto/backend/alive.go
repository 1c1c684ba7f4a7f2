package backend

import "syscall"

// Alive reports whether an idle connection can still be used. The server sends
// nothing on an idle connection but its end, so any byte or a closed connection
// means that it is lost. It does not block.
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
