package inner

import (
	"io"
	"sync"
)

// Pipe returns the two ends of a stream within one VM.
func Pipe() (Exchange, Exchange) {
	aToB, bToA := make(chan Frame, 1), make(chan Frame, 1)
	done := make(chan struct{})
	var once sync.Once
	stop := func() { once.Do(func() { close(done) }) }
	return pipeEnd(aToB, bToA, done, stop), pipeEnd(bToA, aToB, done, stop)
}

func pipeEnd(out chan<- Frame, in <-chan Frame, done <-chan struct{}, stop func()) Exchange {
	return Exchange{
		SendFunc: func(f Frame) error {
			select {
			case <-done:
				return io.ErrClosedPipe
			case out <- f:
				return nil
			}
		},
		ReceiveFunc: func() (Frame, error) { return pipeReceive(in, done) },
		CloseFunc:   stop,
	}
}

// pipeReceive returns the frames that were sent before the pipe was closed, as a
// network stream does, and then io.EOF.
func pipeReceive(in <-chan Frame, done <-chan struct{}) (Frame, error) {
	select {
	case f := <-in:
		return f, nil
	default:
	}
	select {
	case f := <-in:
		return f, nil
	case <-done:
		select {
		case f := <-in:
			return f, nil
		default:
			return Frame{}, io.EOF
		}
	}
}
