package platform_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	standin "github.com/sycamoredoor/sycamoredoor/internal/standin/platform"
)

// TestRecords writes and reads a record through two clients: reading a missing record
// and creating an existing one fail, a client sees the other's change although it cached
// the old record, and a lost answer and a platform that is down each give an error of
// their own.
func TestRecords(t *testing.T) {
	p, err := standin.New(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	a, b := platform.NewStore(p.URL(), 10_000), platform.NewStore(p.URL(), 10_000)
	ctx := context.Background()
	if _, err := a.GetRecordFunc(ctx, "group/orders"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("a record that does not exist: %v", err)
	}
	etag, err := a.PutRecordFunc(ctx, "group/orders", "", []byte("one"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.PutRecordFunc(ctx, "group/orders", "", []byte("two")); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("creating a record that exists: %v", err)
	}
	read := func(s platform.Store) string {
		t.Helper()
		r, err := s.GetRecordFunc(ctx, "group/orders")
		if err != nil {
			t.Fatal(err)
		}
		return string(r.Body)
	}
	got := []string{read(a), read(b), read(b)}
	if _, err := a.PutRecordFunc(ctx, "group/orders", etag, []byte("two")); err != nil {
		t.Fatal(err)
	}
	got = append(got, read(a), read(b), read(b))
	if diff := cmp.Diff([]string{"one", "one", "one", "two", "two", "two"}, got); diff != "" {
		t.Errorf("reads (-want +got):\n%s", diff)
	}
	p.LoseWriteAnswers(1)
	var lost *platform.UnknownOutcomeError
	if _, err := a.PutRecordFunc(ctx, "other", "", []byte("x")); !errors.As(err, &lost) {
		t.Errorf("a lost answer: %v", err)
	}
	p.SetDown(true)
	var unavailable *platform.UnavailableError
	if _, err := b.GetRecordFunc(ctx, "group/orders"); !errors.As(err, &unavailable) {
		t.Errorf("a platform that is down: %v", err)
	}
}
