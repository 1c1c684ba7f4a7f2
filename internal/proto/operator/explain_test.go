package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestExplainQuery guards against a query that is understood in another way than it was meant, and
// against an answer that repeats a key.
func TestExplainQuery(t *testing.T) {
	for _, c := range []struct {
		method, query string
		status        int
		want          ExplainQuery
	}{
		{http.MethodGet, "database=d&account=a&kind=begin+read", http.StatusOK, ExplainQuery{Database: "d", Account: "a", Kind: KindBeginRead}},
		{http.MethodGet, "database=d", http.StatusOK, ExplainQuery{Database: "d", Kind: KindRead}},
		{http.MethodGet, "database=d&key=secret", http.StatusBadRequest, ExplainQuery{}},
		{http.MethodGet, "database=d&account=a&account=secret", http.StatusBadRequest, ExplainQuery{}},
		{http.MethodGet, "database=d&kind=secret", http.StatusBadRequest, ExplainQuery{}},
		{http.MethodGet, "database=%zzsecret", http.StatusBadRequest, ExplainQuery{}},
		{http.MethodGet, "account=secret" + strings.Repeat("x", maxExplainQuery), http.StatusBadRequest, ExplainQuery{}},
		{http.MethodPost, "database=d", http.StatusMethodNotAllowed, ExplainQuery{}},
	} {
		var got ExplainQuery
		mux := http.NewServeMux()
		mux.HandleFunc("GET /explain", ExplainHandler(func(q ExplainQuery) (Explanation, error) {
			got = q
			return Explanation{}, nil
		}))
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(c.method, "/explain?"+c.query, nil))
		if d := cmp.Diff(c.status, w.Code); d != "" {
			t.Errorf("%.40s: status (-want +got):\n%s", c.query, d)
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%.40s: query (-want +got):\n%s", c.query, d)
		}
		if strings.Contains(w.Body.String(), "secret") {
			t.Errorf("%.40s: the answer repeats the query: %s", c.query, w.Body)
		}
	}
}
