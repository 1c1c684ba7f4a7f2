package vm

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

const (
	// maxEdit is the largest edit in bytes.
	maxEdit = 8 << 20
	// historyLimit is the number of versions told when the request names none.
	historyLimit = 20
)

// unknownSectionError names a section that does not exist.
type unknownSectionError struct{ name string }

// Error implements error.
func (e *unknownSectionError) Error() string {
	return "no section " + strconv.Quote(e.name) + "; there are " + strings.Join(document.Sections(), ", ")
}

func checkSection(name string) error {
	if !slices.Contains(document.Sections(), name) {
		return &unknownSectionError{name: name}
	}
	return nil
}

// token returns the bearer token of a request.
func token(r *http.Request) string {
	kind, text, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(kind, "Bearer") {
		return ""
	}
	return strings.TrimSpace(text)
}

// identify returns the operator of a request by the document in force here.
func (v *VM) identify(r *http.Request, d *document.Document) (document.Operator, error) {
	t := token(r)
	if t == "" {
		return document.Operator{}, &document.UnknownTokenError{Detail: "an operator's token is needed: Authorization: Bearer TOKEN"}
	}
	return d.Identify(t, v.options.Bootstrap)
}

// latest returns the document that an edit starts from: the last version in the
// table, so that edits can follow each other at once, or while the platform does
// not answer the one in force here. It is nil before the first edit.
func (v *VM) latest(r *http.Request) (*document.Document, error) {
	d, _, _, err := configuration.Load(r.Context(), v.options.Store)
	if err == nil || errors.Is(err, platform.ErrAbsent) {
		return d, nil
	}
	if d := v.members.Latest(); d != nil {
		return d, nil
	}
	return nil, err
}

// readable returns the last document if the request comes from one of its
// operators, and otherwise answers why not.
func (v *VM) readable(w http.ResponseWriter, r *http.Request) (*document.Document, bool) {
	d, err := v.latest(r)
	if err == nil {
		_, err = v.identify(r, d)
	}
	if err != nil {
		refuse(w, err)
		return nil, false
	}
	return d, true
}

func (v *VM) getSection(w http.ResponseWriter, r *http.Request) {
	d, ok := v.readable(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	if err := checkSection(name); err != nil {
		refuse(w, err)
		return
	}
	s := operator.Section{Name: name}
	if d != nil {
		s.Version, s.Text = d.Version, d.Text(name)
	}
	answerJSON(w, http.StatusOK, s)
}

func (v *VM) putSections(w http.ResponseWriter, r *http.Request) {
	if token(r) == "" {
		_, err := v.identify(r, nil)
		refuse(w, err)
		return
	}
	var e operator.Edit
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEdit)).Decode(&e); err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	sections := slices.Sorted(maps.Keys(e.Sections))
	for _, name := range sections {
		if err := checkSection(name); err != nil {
			refuse(w, err)
			return
		}
	}
	version, err := configuration.Apply(r.Context(), v.options.Store, configuration.Change{
		Texts: e.Sections, Base: e.Version, Request: e.Request, When: time.Now(),
		AllowFunc: func(old *document.Document) (string, error) {
			o, err := v.identify(r, old)
			if err != nil {
				return "", err
			}
			return o.Name, o.MayEdit(sections)
		},
	})
	if err != nil {
		refuse(w, err)
		return
	}
	answerJSON(w, http.StatusOK, operator.Applied{Version: version})
}

func (v *VM) getHistory(w http.ResponseWriter, r *http.Request) {
	if _, ok := v.readable(w, r); !ok {
		return
	}
	limit := historyLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			problem(w, http.StatusBadRequest, errors.Errorf("limit %q is not a number above 0", text))
			return
		}
		limit = n
	}
	entries, err := configuration.History(r.Context(), v.options.Store, limit)
	if err != nil {
		refuse(w, err)
		return
	}
	out := operator.History{Entries: []operator.Entry{}}
	for _, e := range entries {
		out.Entries = append(out.Entries, operator.Entry(e))
	}
	answerJSON(w, http.StatusOK, out)
}

// refuse answers with the status that fits the error.
func refuse(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	problem(w, status, err)
}

func statusOf(err error) int {
	var unknown *document.UnknownTokenError
	var forbidden *document.ForbiddenError
	var section *unknownSectionError
	var conflict *configuration.ConflictError
	var request *configuration.RequestError
	var base *configuration.BaseError
	var mistake *strict.Error
	switch {
	case errors.As(err, &unknown):
		return http.StatusUnauthorized
	case errors.As(err, &forbidden):
		return http.StatusForbidden
	case errors.As(err, &section):
		return http.StatusNotFound
	case errors.As(err, &conflict), errors.As(err, &request), errors.As(err, &base):
		return http.StatusConflict
	case errors.As(err, &mistake):
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
