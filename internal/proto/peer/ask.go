package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Ask sends one question to the VM at an address and waits for the answer until the
// context ends. An answer with Error set is returned together with that error.
func (t *Transport) Ask(ctx context.Context, address string, l Label, q inner.Question) (inner.Answer, error) {
	x, err := t.Open(ctx, address, l)
	if err != nil {
		return inner.Answer{}, err
	}
	return exchangeAnswer(ctx, x, q)
}

// Fetch is Ask for an answer that may be long: it fails if the connection takes longer than
// silence to open, or if nothing of the answer arrives for as long, in milliseconds.
func (t *Transport) Fetch(ctx context.Context, address string, l Label, q inner.Question, silence clock.Millis) (inner.Answer, error) {
	openContext, cancel := context.WithTimeout(ctx, silence.Duration())
	defer cancel()
	x, err := t.Open(openContext, address, l)
	if err != nil {
		return inner.Answer{}, err
	}
	x.SilenceTimeoutFunc(silence)
	return exchangeAnswer(ctx, x, q)
}

// exchangeAnswer asks a question on a stream and closes it.
func exchangeAnswer(ctx context.Context, x inner.Exchange, q inner.Question) (inner.Answer, error) {
	stop := context.AfterFunc(ctx, x.Close)
	defer stop()
	defer x.Close()
	if err := x.Send(inner.Encode(inner.KindQuestion, q)); err != nil {
		return inner.Answer{}, err
	}
	f, err := x.Receive()
	if err != nil {
		return inner.Answer{}, err
	}
	var out inner.Answer
	if err := inner.Decode(f, &out); err != nil {
		return out, err
	}
	return CheckAnswer(out)
}

// CheckAnswer returns the answer and, when its Error is set, that error.
func CheckAnswer(a inner.Answer) (inner.Answer, error) {
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}
