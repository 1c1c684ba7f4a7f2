package peer

import (
	"bufio"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// streamBuffer holds the header and a short body in bytes; longer bodies are
// read without it.
const streamBuffer = 512

// opened returns the side that asks. Close abandons both directions, so that
// the VM that serves the stream stops at once.
func opened(s *quic.Stream) inner.Exchange {
	return exchange(s, func() {
		s.CancelRead(abandoned)
		s.CancelWrite(abandoned)
	})
}

// accepted returns the side that answers. Close lets what was sent arrive.
func accepted(s *quic.Stream) inner.Exchange {
	return exchange(s, func() {
		s.CancelRead(abandoned)
		_ = s.Close()
	})
}

func exchange(s *quic.Stream, closeStream func()) inner.Exchange {
	r := bufio.NewReaderSize(s, streamBuffer)
	return inner.Exchange{
		SendFunc:    func(f inner.Frame) error { return inner.Write(s, f) },
		ReceiveFunc: func() (inner.Frame, error) { return inner.Read(r) },
		CloseFunc:   closeStream,
	}
}
