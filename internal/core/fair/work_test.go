package fair

import (
	"math"
	"testing"
)

// TestWork guards against short and long statements that count the same, and against a cost that one very slow answer makes boundless.
func TestWork(t *testing.T) {
	w := Work{}
	if got := w.Cost(0); got != 1 {
		t.Errorf("cost %v before an answer, want 1", got)
	}
	for range 200 {
		w = w.WithAnswer(0, 3).WithAnswer(2, 47)
	}
	if ratio := w.Cost(2) / w.Cost(0); math.Abs(ratio-1.88/0.25) > 1 {
		t.Errorf("a statement of 47 ms costs %.1f times one of 3 ms", ratio)
	}
	if got := w.WithAnswer(1, 1e6).Cost(1); got != maxCost {
		t.Errorf("cost %v after a very slow answer, want %v", got, maxCost)
	}
}
