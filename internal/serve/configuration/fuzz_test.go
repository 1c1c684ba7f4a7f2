package configuration

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	standin "github.com/sycamoredoor/sycamoredoor/internal/standin/platform"
)

// model is the oracle: it predicts the results of changes that are applied one after
// another and without failures.
type model struct {
	version         uint64
	texts           map[string]string
	sectionVersions map[string]uint64
	// entries is by request ID; requestIDs holds the IDs in the order of their versions.
	entries    map[string]Entry
	requestIDs []string
}

// apply predicts the result of a change.
func (m *model) apply(c Change) (uint64, error) {
	if e, repeated := m.entries[c.RequestID]; repeated {
		return e.Version, nil
	}
	if c.BaseVersion > m.version {
		return 0, &BaseError{BaseVersion: c.BaseVersion, Current: m.version}
	}
	changed := map[string]string{}
	for section, text := range c.Texts {
		if old, exists := m.texts[section]; !exists || old != text {
			changed[section] = Hash([]byte(text))
		}
	}
	if len(changed) == 0 {
		return m.version, nil
	}
	for _, section := range slices.Sorted(maps.Keys(changed)) {
		if m.sectionVersions[section] > c.BaseVersion {
			return 0, &ConflictError{Section: section, BaseVersion: c.BaseVersion, Current: m.sectionVersions[section], Operator: "tester"}
		}
	}
	m.version++
	for section := range changed {
		m.texts[section], m.sectionVersions[section] = c.Texts[section], m.version
	}
	m.entries[c.RequestID] = Entry{Version: m.version, Operator: "tester", RequestID: c.RequestID, Sections: changed}
	m.requestIDs = append(m.requestIDs, c.RequestID)
	return m.version, nil
}

// stateMachine applies changes to the stand-in of the platform and to the model.
type stateMachine struct {
	store    platform.Store
	platform *standin.Platform
	model    model
	changes  []Change
	// beforePutFunc runs once, immediately before the next write of the record. If it
	// returns an error, the write fails with that error and has no effect.
	beforePutFunc func() error
}

func newStateMachine(ctx context.Context, t *rapid.T) *stateMachine {
	p, err := standin.New(ctx)
	if err != nil {
		t.Fatal(err)
	}
	m := &stateMachine{platform: p, store: platform.NewStore(p.URL(), 10_000)}
	m.model = model{texts: map[string]string{}, sectionVersions: map[string]uint64{}, entries: map[string]Entry{}}
	put := m.store.PutRecordFunc
	m.store.PutRecordFunc = func(ctx context.Context, key, tag string, body []byte) (string, error) {
		if before := m.beforePutFunc; before != nil {
			m.beforePutFunc = nil
			if err := before(); err != nil {
				return "", err
			}
		}
		return put(ctx, key, tag, body)
	}
	return m
}

// drawChange draws an edit of one or two sections, which starts from the current version
// or one of the two before it. Each text is a comment with one of four numbers, so that
// texts recur.
func (m *stateMachine) drawChange(t *rapid.T) Change {
	sections := rapid.SliceOfNDistinct(rapid.SampledFrom(document.Sections()[:3]), 1, 2, rapid.ID[string]).Draw(t, "sections")
	c := Change{Texts: map[string]string{}, RequestID: fmt.Sprint("r", len(m.changes)), Time: time.Unix(0, 0)}
	c.AllowFunc = func(*document.Document) (string, error) { return "tester", nil }
	for _, s := range sections {
		c.Texts[s] = fmt.Sprintf("# %d\n", rapid.IntRange(0, 3).Draw(t, "text"))
	}
	c.BaseVersion = m.model.version - min(m.model.version, rapid.SampledFrom([]uint64{0, 0, 0, 1, 2}).Draw(t, "behind"))
	m.changes = append(m.changes, c)
	return c
}

// run applies a change to the store and to the model and compares the results.
func (m *stateMachine) run(ctx context.Context, t *rapid.T, c Change) {
	got, gotErr := Apply(ctx, m.store, c)
	want, wantErr := m.model.apply(c)
	if diff := cmp.Diff(fmt.Sprint(want, wantErr), fmt.Sprint(got, gotErr)); diff != "" {
		t.Fatalf("apply %s (-want +got):\n%s", c.RequestID, diff)
	}
}

// check compares the text of each section in the model with the store. Before the first
// version the store must have no record.
func (m *stateMachine) check(ctx context.Context, t *rapid.T) {
	d, _, _, err := Load(ctx, m.store)
	if m.model.version == 0 {
		if !errors.Is(err, platform.ErrNotFound) {
			t.Fatalf("loading from an empty store: %v", err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for section, text := range m.model.texts {
		if diff := cmp.Diff(text, d.Text(section)); diff != "" {
			t.Fatalf("section %s (-want +got):\n%s", section, diff)
		}
	}
}

// checkHistory compares every version in the history, except its time, with the model.
func (m *stateMachine) checkHistory(ctx context.Context, t *rapid.T) {
	var want []Entry
	for _, requestID := range slices.Backward(m.model.requestIDs) {
		want = append(want, m.model.entries[requestID])
	}
	got, err := History(ctx, m.store, MaxHistory)
	if err != nil {
		t.Fatal(err)
	}
	for i := range got {
		got[i].Time = time.Time{}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("history (-want +got):\n%s", diff)
	}
}

// TestApplyAgainstModel runs random edits, races, lost answers, lost requests and repeats,
// and compares each result, the texts and the whole history with the model.
func TestApplyAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m := newStateMachine(ctx, t)
		// An edit that is refused or changes no text writes nothing, so each action clears
		// the failure or race that it has set up.
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) { m.run(ctx, t, m.drawChange(t)) },
			"repeat": func(t *rapid.T) {
				if len(m.changes) == 0 {
					t.Skip("no edit to repeat")
				}
				m.run(ctx, t, rapid.SampledFrom(m.changes).Draw(t, "past"))
			},
			"lost answer": func(t *rapid.T) {
				m.platform.LoseWriteAnswers(1)
				m.run(ctx, t, m.drawChange(t))
				m.platform.LoseWriteAnswers(0)
			},
			"lost request": func(t *rapid.T) {
				m.beforePutFunc = func() error { return &platform.UnknownOutcomeError{Cause: errors.New("cut")} }
				m.run(ctx, t, m.drawChange(t))
				m.beforePutFunc = nil
			},
			"race": func(t *rapid.T) {
				first, second := m.drawChange(t), m.drawChange(t)
				m.beforePutFunc = func() error { m.run(ctx, t, second); return nil }
				m.run(ctx, t, first)
				m.beforePutFunc = nil
			},
			"history": func(t *rapid.T) { m.checkHistory(ctx, t) },
			"":        func(t *rapid.T) { m.check(ctx, t) },
		})
		m.checkHistory(ctx, t)
	})
}

// TestHistoryChain checks that History returns every version when most of them have been
// moved from the record to the chain of objects.
func TestHistoryChain(t *testing.T) {
	p, err := standin.New(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(p.URL(), 10_000)
	const versions = 2*MinRecordHistory + historyChunk + 3
	for n := range versions {
		c := Change{Texts: map[string]string{document.SectionRoutes: fmt.Sprintf("# %d\n", n)}, BaseVersion: uint64(n), RequestID: fmt.Sprint(n)}
		if _, err := Apply(t.Context(), store, c); err != nil {
			t.Fatal(err)
		}
	}
	r, _, err := loadRecord(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(r.History); n < MinRecordHistory || n >= MinRecordHistory+historyChunk {
		t.Errorf("the record holds %d versions", n)
	}
	entries, err := History(t.Context(), store, versions+10)
	if err != nil {
		t.Fatal(err)
	}
	var got, want []uint64
	for i, e := range entries {
		got = append(got, e.Version)
		want = append(want, uint64(versions-i))
	}
	if diff := cmp.Diff(want, got); diff != "" || len(got) != versions {
		t.Errorf("%d versions (-want +got):\n%s", len(got), diff)
	}
}

// TestReusedRequestID checks that a change is refused when its request ID was used for
// another change.
func TestReusedRequestID(t *testing.T) {
	p, err := standin.New(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(p.URL(), 10_000)
	c := Change{Texts: map[string]string{document.SectionRoutes: "# 1\n"}, RequestID: "same"}
	if _, err := Apply(t.Context(), store, c); err != nil {
		t.Fatal(err)
	}
	c.Texts = map[string]string{document.SectionRoutes: "# 2\n"}
	_, err = Apply(t.Context(), store, c)
	var refused *RequestError
	if !errors.As(err, &refused) {
		t.Errorf("want a RequestError, got %v", err)
	}
}
