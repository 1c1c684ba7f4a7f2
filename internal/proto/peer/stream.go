package peer

import (
	"bufio"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// streamBuffer holds the header and a short body in bytes; longer bodies are
// read without it.
const streamBuffer = 512

// Label says whose bytes a stream sends, and whereto.
type Label struct {
	// Region is that of the VM at the other end.
	Region string
	// Account is the client account.
	Account string
	// Weight is the account's share relative to others.
	Weight int
	// Control marks messages between VMs that belong to no client account.
	Control bool
}

// Stream is an accepted stream.
type Stream struct {
	inner.Exchange
	// LabelFunc says whose bytes the answers are; until then they are not paced.
	// It is called before the first Send.
	LabelFunc func(Label)
}

// incomingStream returns the side that answers. Close lets what was sent arrive.
func (t *Transport) incomingStream(s *quic.Stream) Stream {
	var w io.Writer = s
	r := bufio.NewReaderSize(s, streamBuffer)
	x := inner.Exchange{
		SendFunc:    func(f inner.Frame) error { return inner.Write(w, f) },
		ReceiveFunc: func() (inner.Frame, error) { return inner.Read(r) },
		CloseFunc: func() {
			s.CancelRead(abandonedCode)
			_ = s.Close()
		},
	}
	return Stream{Exchange: x, LabelFunc: func(l Label) { w = t.streamWriter(s, l) }}
}
