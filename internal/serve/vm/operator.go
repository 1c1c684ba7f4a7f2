package vm

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
)

// operatorHandler returns the handler of the operators' HTTP server.
func (v *VM) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, v.Status()) })
	mux.HandleFunc("GET /section/{name}", v.getSection)
	mux.HandleFunc("PUT /sections", v.putSections)
	mux.HandleFunc("GET /history", v.getHistory)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, operator.Problem{Message: err.Error()})
}

// Status returns the VM's state: the versions of its configuration, its members, the number
// of invariant violations, and the backend servers that it holds or is about to hold.
func (v *VM) Status() operator.Status {
	s := operator.Status{
		VM: v.self, Version: v.Version(), AcceptedVersion: v.membership.AcceptedVersion(), Confirmed: v.membership.CanAct(),
		Members: v.membership.AllMembers(), Violations: invariant.Violations(),
	}
	v.holders.mu.Lock()
	defer v.holders.mu.Unlock()
	for _, r := range v.holders.running {
		state, held := r.holder.State()
		s.Holdings = append(s.Holdings, operator.Holding{Database: r.database, Held: held, State: state})
	}
	slices.SortFunc(s.Holdings, func(a, b operator.Holding) int { return strings.Compare(a.State.Server, b.State.Server) })
	return s
}
