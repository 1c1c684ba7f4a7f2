package inner

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode builds a frame from a message, which must not be changed afterwards. The
// messages of a transaction (Begin, Batch and End) are only encoded when the frame
// leaves the VM.
func Encode(kind Kind, message any) Frame {
	f := Frame{Kind: kind, Message: message}
	switch message.(type) {
	case Begin, Batch, End:
		return f
	}
	return f.withBody()
}

// withBody returns the frame with its message encoded as the body. Messages of
// this package can always be encoded, so an error panics.
func (f Frame) withBody() Frame {
	if f.Message == nil {
		return f
	}
	body, err := cbor.Marshal(f.Message)
	if err != nil {
		panic(fmt.Sprintf("inner protocol: cannot encode %T: %v", f.Message, err))
	}
	return Frame{Kind: f.Kind, Body: body}
}

// decoder decodes bodies. Texts of callers and servers may hold any bytes, not only UTF-8.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Decode decodes the body of f into the message that target points to, or returns
// a *FrameError. Slices in a message from this VM itself are shared with the sender
// and must not be changed.
func Decode(f Frame, target any) error {
	if f.copyMessage(target) {
		return nil
	}
	if err := decoder.Unmarshal(f.withBody().Body, target); err != nil {
		return &FrameError{Detail: fmt.Sprintf("frame %d: %v", f.Kind, err)}
	}
	return nil
}
