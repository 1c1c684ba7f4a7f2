package vm

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// maxSection is the largest section in bytes.
const maxSection = 8 << 20

func (v *VM) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { answerJSON(w, http.StatusOK, v.Status()) })
	mux.HandleFunc("GET /section/{name}", v.getSection)
	mux.HandleFunc("PUT /section/{name}", v.putSection)
	return mux
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func problem(w http.ResponseWriter, status int, err error) {
	answerJSON(w, status, operator.Problem{Message: err.Error()})
}

// Status tells what the VM knows.
func (v *VM) Status() operator.Status {
	s := operator.Status{VM: v.self, Version: v.Version(), Members: *v.members.Load(), Violations: invariant.Total()}
	v.holders.mu.Lock()
	defer v.holders.mu.Unlock()
	for _, r := range v.holders.running {
		state, held := r.holder.State()
		s.Holdings = append(s.Holdings, operator.Holding{Database: r.database, Held: held, State: state})
	}
	slices.SortFunc(s.Holdings, func(a, b operator.Holding) int { return strings.Compare(a.State.Server, b.State.Server) })
	return s
}

func (v *VM) getSection(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if !slices.Contains(document.Sections(), name) {
		problem(w, http.StatusNotFound, errors.Errorf("no section %q; there are %s", name, strings.Join(document.Sections(), ", ")))
		return
	}
	d := v.document.Load()
	if d == nil {
		problem(w, http.StatusServiceUnavailable, errors.New("no configuration is in force yet"))
		return
	}
	answerJSON(w, http.StatusOK, operator.Section{Name: name, Version: d.Version, Text: d.Text(name)})
}

func (v *VM) putSection(w http.ResponseWriter, r *http.Request) {
	var s operator.Section
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSection)).Decode(&s); err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	if s.Name != r.PathValue("name") || !slices.Contains(document.Sections(), s.Name) {
		problem(w, http.StatusNotFound, errors.Errorf("no section %q; there are %s", s.Name, strings.Join(document.Sections(), ", ")))
		return
	}
	version, err := configuration.Apply(r.Context(), v.options.Store, map[string]string{s.Name: s.Text}, s.Version, s.Request)
	var conflict *configuration.ConflictError
	var mistake *strict.Error
	switch {
	case err == nil:
		answerJSON(w, http.StatusOK, operator.Section{Name: s.Name, Version: version, Text: s.Text})
	case errors.As(err, &conflict):
		problem(w, http.StatusConflict, err)
	case errors.As(err, &mistake):
		problem(w, http.StatusUnprocessableEntity, err)
	default:
		problem(w, http.StatusServiceUnavailable, err)
	}
}
