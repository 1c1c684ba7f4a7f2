package inner

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// WithGzip returns the answer with its payload compressed.
func (a Answer) WithGzip() Answer {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("inner protocol: %v", err)) // the level is valid
	}
	_, _ = w.Write(a.Payload) // a bytes.Buffer returns no error
	_ = w.Close()
	a.Payload, a.Gzip = out.Bytes(), true
	return a
}

// WithoutGzip returns the answer with its payload as it was before WithGzip. It returns a
// *FrameError if the payload is invalid or over MaxBody.
func (a Answer) WithoutGzip() (Answer, error) {
	if !a.Gzip {
		return a, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(a.Payload))
	if err != nil {
		return Answer{}, &FrameError{Detail: "compressed payload: " + err.Error()}
	}
	payload, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return Answer{}, &FrameError{Detail: "compressed payload: " + err.Error()}
	}
	if len(payload) > MaxBody {
		return Answer{}, &FrameError{Detail: fmt.Sprintf("compressed payload is over the limit of %d bytes", MaxBody)}
	}
	a.Payload, a.Gzip = payload, false
	return a, nil
}
