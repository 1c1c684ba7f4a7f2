package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Ask puts one question to the VM at an address, within the context's time. An
// answer that tells an error is returned with it.
func (t *Transport) Ask(ctx context.Context, address string, l Label, a inner.Question) (inner.Answer, error) {
	x, err := t.Open(ctx, address, l)
	if err != nil {
		return inner.Answer{}, err
	}
	stop := context.AfterFunc(ctx, x.Close)
	defer stop()
	defer x.Close()
	if err := x.Send(inner.Encode(inner.KindQuestion, a)); err != nil {
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

// CheckAnswer returns an answer, and the error that it tells.
func CheckAnswer(a inner.Answer) (inner.Answer, error) {
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}
