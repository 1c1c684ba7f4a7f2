package system

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// TestLeavingServer marks a replica as leaving under reads; 3 s later nothing
// reaches it any more, and no read is refused meanwhile.
func TestLeavingServer(t *testing.T) {
	const grace, watched = 3 * time.Second, time.Second
	s := start(t, func(o *Options) { o.Accounts[0].Rate, o.Accounts[0].Burst = 100_000, 100_000 })
	var work atomic.Int64
	s.Groups["orders"].Server("orders-2").Watch(func(sql string) {
		if strings.Contains(sql, "box") {
			work.Add(1)
		}
	})
	read := func(length time.Duration) {
		t.Helper()
		for i := range s.VMs {
			conn := connect(t, s, i, nil)
			for begin := time.Now(); time.Since(begin) < length/3; time.Sleep(time.Millisecond) {
				if _, err := conn.Exec(t.Context(), "SELECT v FROM box WHERE id = '1' /*route='list'*/"); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	read(watched)
	if work.Load() == 0 {
		t.Fatal("the replica served no read before")
	}
	text := strings.Replace(s.databasesSection(), "{name: orders-2,", "{name: orders-2, leaving: true,", 1)
	since := time.Now()
	if _, err := configuration.Apply(t.Context(), s.Store, configuration.Change{
		Request: "leave", When: since, Base: s.VMs[0].Version(), Texts: map[string]string{document.SectionDatabases: text},
	}); err != nil {
		t.Fatal(err)
	}
	read(grace - time.Since(since))
	time.Sleep(grace - time.Since(since))
	work.Store(0)
	read(watched)
	if n := work.Load(); n > 0 {
		t.Errorf("a leaving server got %d statements after %v", n, grace)
	}
}
