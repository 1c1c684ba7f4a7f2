package peer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// answering answers each question with its topic, and echoes every other frame.
var answering = Handlers{StreamFunc: func(_ context.Context, _ string, x Stream) {
	for {
		f, err := x.Receive()
		if err != nil {
			return
		}
		var q inner.Question
		if f.Kind == inner.KindQuestion && inner.Decode(f, &q) == nil {
			f = inner.Encode(inner.KindAnswer, inner.Answer{Payload: []byte(q.Topic)})
		}
		if x.Send(f) != nil {
			return
		}
	}
}}

// TestQuestionOnStreamWithExpiredTimeout guards against a question that fails because the last statement on its stream had set a receive timeout.
func TestQuestionOnStreamWithExpiredTimeout(t *testing.T) {
	r := newTestKeyring(t)
	a, b := serve(t, r, Options{}, answering), serve(t, r, Options{}, answering)
	x, err := a.Open(t.Context(), b.Address(), Label{})
	if err != nil {
		t.Fatal(err)
	}
	const receiveTimeout = 500 * clock.Millis(1)
	x.ReceiveTimeoutFunc(receiveTimeout)
	if err := exchangeOnce(x, inner.Frame{Kind: inner.KindData, Body: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	x.Release()
	time.Sleep(receiveTimeout.Duration())
	answer, err := a.Ask(t.Context(), b.Address(), Label{}, inner.Question{Topic: inner.TopicText})
	if err != nil {
		t.Fatal("asking on a stream that was released: ", err)
	}
	if diff := cmp.Diff(inner.TopicText, string(answer.Payload)); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
