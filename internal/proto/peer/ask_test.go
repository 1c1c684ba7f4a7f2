package peer

import (
	"bytes"
	"context"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/pace"
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

// TestLongAnswerOnSlowLink guards against a fetch that is abandoned while its answer arrives, and again at each attempt.
func TestLongAnswerOnSlowLink(t *testing.T) {
	const silence = clock.Second
	text := bytes.Repeat([]byte("jelly "), 10_000)
	r := newTestKeyring(t)
	a := serve(t, r, Options{Region: "a"}, answering)
	b := serve(t, r, Options{Region: "b", Link: pace.Link{Rate: 20_000, Burst: 4_096}}, Handlers{StreamFunc: func(_ context.Context, _ string, x Stream) {
		x.LabelFunc(Label{Region: "a", Control: true})
		if _, err := x.Receive(); err == nil {
			_ = x.Send(inner.Encode(inner.KindAnswer, inner.Answer{Payload: text}))
		}
	}})
	started := time.Now()
	answer, err := a.Fetch(t.Context(), b.Address(), Label{}, inner.Question{Topic: inner.TopicText}, silence)
	if err != nil {
		t.Fatalf("after %s: %v", time.Since(started), err)
	}
	if took := time.Since(started); took < silence.Duration() {
		t.Errorf("the answer took %s, too short for this test", took)
	}
	if !bytes.Equal(text, answer.Payload) {
		t.Errorf("answer of %d bytes, want the %d that were sent", len(answer.Payload), len(text))
	}
}

// TestFetchFromSilentVM guards against a fetch that waits for a VM that stopped answering.
func TestFetchFromSilentVM(t *testing.T) {
	r := newTestKeyring(t)
	a := serve(t, r, Options{}, answering)
	b := serve(t, r, Options{}, Handlers{StreamFunc: func(ctx context.Context, _ string, x Stream) {
		_, _ = x.Receive()
		<-ctx.Done()
	}})
	_, err := a.Fetch(t.Context(), b.Address(), Label{}, inner.Question{Topic: inner.TopicText}, 200)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want one of the deadline", err)
	}
}
