package peer

import (
	"bufio"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// streamBufferSize is the size of a read buffer in bytes. It holds the header and a
// short body; longer bodies bypass it.
const streamBufferSize = 512

// Label describes the traffic of a stream for pacing: the receiving region and the
// client account that the bytes belong to.
type Label struct {
	// Region is the region of the VM at the other end.
	Region string
	// Account is the name of the client account.
	Account string
	// Weight is the account's weight relative to other accounts.
	Weight int
	// Control marks messages between VMs that belong to no client account.
	Control bool
}

// Stream is a stream that another VM opened.
type Stream struct {
	inner.Exchange
	// LabelFunc sets the label by which answers are paced; without one they are
	// not paced. It must be called before the first Send.
	LabelFunc func(Label)
}

// incomingStream returns the accepting end of a stream. Its Close still delivers
// what was sent.
func (t *Transport) incomingStream(s *quic.Stream) Stream {
	var w io.Writer = s
	r := bufio.NewReaderSize(s, streamBufferSize)
	// Streams are counted by what arrives on them: other VMs open few.
	owner, _ := t.options.Memory.NewOwner(0, nil)
	x := inner.Exchange{
		SendFunc:    func(f inner.Frame) error { return inner.Write(w, f) },
		ReceiveFunc: func() (inner.Frame, error) { return inner.ReadWithin(r, owner) },
		Memory:      owner,
		CloseFunc: func() {
			owner.Close()
			s.CancelRead(abandonedCode)
			_ = s.Close()
		},
	}
	return Stream{Exchange: x, LabelFunc: func(l Label) { w = t.streamWriter(s, l) }}
}
