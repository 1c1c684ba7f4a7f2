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
	// maxEditBytes is the largest body of a request that edits sections.
	maxEditBytes = 8 << 20
	// defaultHistoryLimit is the number of versions to return when the request names none.
	defaultHistoryLimit = 20
)

// unknownSectionError means that a section does not exist.
type unknownSectionError struct{ name string }

// Error implements error.
func (e *unknownSectionError) Error() string {
	return "no section " + strconv.Quote(e.name) + "; there are " + strings.Join(document.Sections(), ", ")
}

// checkSection returns an *unknownSectionError if there is no section of that name.
func checkSection(name string) error {
	if !slices.Contains(document.Sections(), name) {
		return &unknownSectionError{name: name}
	}
	return nil
}

// bearerToken returns the bearer token of a request, or "" if it has none.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// identify returns the operator whose token a request has, according to a document. The
// document is nil before the first edit. The error is a *document.UnknownTokenError.
func (v *VM) identify(r *http.Request, d *document.Document) (document.Operator, error) {
	t := bearerToken(r)
	if t == "" {
		return document.Operator{}, &document.UnknownTokenError{Detail: "an operator's token is needed: Authorization: Bearer TOKEN"}
	}
	return d.Authenticate(t, v.options.BootstrapToken)
}

// baseDocument returns the document that an edit starts from: the last version in the
// platform's table, so that an edit can follow one that this VM has not read yet, or this
// VM's own version if the platform's cannot be read. It is nil before the first edit only:
// the bootstrap token is valid until then.
func (v *VM) baseDocument(r *http.Request) (*document.Document, error) {
	d, _, _, err := configuration.Load(r.Context(), v.options.Store)
	if err == nil || errors.Is(err, platform.ErrNotFound) {
		return d, nil
	}
	if d := v.membership.Latest(); d != nil {
		return d, nil
	}
	return nil, err
}

// authorizedDocument returns the base document if identify finds the request's operator.
// Otherwise it answers the request with the error and returns false.
func (v *VM) authorizedDocument(w http.ResponseWriter, r *http.Request) (*document.Document, bool) {
	d, err := v.baseDocument(r)
	if err == nil {
		_, err = v.identify(r, d)
	}
	if err != nil {
		writeError(w, err)
		return nil, false
	}
	return d, true
}

// getSection answers with the text of a section and the version of the document that it
// was read from.
func (v *VM) getSection(w http.ResponseWriter, r *http.Request) {
	d, ok := v.authorizedDocument(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	if err := checkSection(name); err != nil {
		writeError(w, err)
		return
	}
	s := operator.Section{Name: name}
	if d != nil {
		s.Version, s.Text = d.Version, d.Text(name)
	}
	writeJSON(w, http.StatusOK, s)
}

// putSections replaces sections and answers with the version that contains the change.
func (v *VM) putSections(w http.ResponseWriter, r *http.Request) {
	// A request without a token is refused before its body is read.
	if bearerToken(r) == "" {
		_, err := v.identify(r, nil)
		writeError(w, err)
		return
	}
	var e operator.Edit
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes)).Decode(&e); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	sections := slices.Sorted(maps.Keys(e.Sections))
	for _, name := range sections {
		if err := checkSection(name); err != nil {
			writeError(w, err)
			return
		}
	}
	version, err := configuration.Apply(r.Context(), v.options.Store, configuration.Change{
		Texts: e.Sections, BaseVersion: e.Version, RequestID: e.RequestID, Time: time.Now(),
		AllowFunc: func(old *document.Document) (string, error) {
			o, err := v.identify(r, old)
			if err != nil {
				return "", err
			}
			return o.Name, o.AuthorizeEdit(sections)
		},
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, operator.EditResult{Version: version})
}

// getHistory answers with the last versions, the newest first.
func (v *VM) getHistory(w http.ResponseWriter, r *http.Request) {
	if _, ok := v.authorizedDocument(w, r); !ok {
		return
	}
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			writeProblem(w, http.StatusBadRequest, errors.Errorf("limit %q is not a number above 0", text))
			return
		}
		limit = n
	}
	entries, err := configuration.History(r.Context(), v.options.Store, limit)
	if err != nil {
		writeError(w, err)
		return
	}
	out := operator.History{Entries: []operator.HistoryEntry{}}
	for _, e := range entries {
		out.Entries = append(out.Entries, operator.HistoryEntry(e))
	}
	writeJSON(w, http.StatusOK, out)
}

// writeError answers a request with an error and the status that fits it.
func writeError(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeProblem(w, status, err)
}

// statusOf returns the HTTP status for the type of an error, and 503 for any type that it
// does not list, such as an error of the platform.
func statusOf(err error) int {
	var unknownToken *document.UnknownTokenError
	var forbidden *document.ForbiddenError
	var section *unknownSectionError
	var conflict *configuration.ConflictError
	var request *configuration.RequestError
	var base *configuration.BaseError
	var invalid *strict.Error
	switch {
	case errors.As(err, &unknownToken):
		return http.StatusUnauthorized
	case errors.As(err, &forbidden):
		return http.StatusForbidden
	case errors.As(err, &section):
		return http.StatusNotFound
	case errors.As(err, &conflict), errors.As(err, &request), errors.As(err, &base):
		return http.StatusConflict
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
