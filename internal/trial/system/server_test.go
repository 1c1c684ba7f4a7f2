package system

import (
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// TestLeavingServer marks a replica as leaving and reads before and after the edit. From
// 3 s after the edit, leavingGrace of package holder, no read may reach the replica. No
// read may be refused at any time.
func TestLeavingServer(t *testing.T) {
	const grace, readDuration = 3 * time.Second, time.Second
	s := startSystem(t, func(o *Options) { o.Accounts[0].Rate, o.Accounts[0].Burst = 100_000, 100_000 })
	var statements atomic.Int64
	s.Groups["orders"].Server("orders-2").SetStatementFunc(func(sql string) {
		if strings.Contains(sql, "box") {
			statements.Add(1)
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
	read(readDuration)
	if statements.Load() == 0 {
		t.Fatal("the replica served no read before it was leaving")
	}
	text := strings.Replace(s.databasesSection(), "{name: orders-2,", "{name: orders-2, leaving: true,", 1)
	editTime := time.Now()
	if _, err := configuration.Apply(t.Context(), s.Store, configuration.Change{
		RequestID: "leave", Time: editTime, BaseVersion: s.VMs[0].Version(), Texts: map[string]string{document.SectionDatabases: text},
	}); err != nil {
		t.Fatal(err)
	}
	read(grace - time.Since(editTime))
	time.Sleep(grace - time.Since(editTime))
	statements.Store(0)
	read(readDuration)
	if n := statements.Load(); n > 0 {
		t.Errorf("a leaving server got %d statements after %v", n, grace)
	}
}

// TestLeavingPrimary marks the primary as leaving during writes. Another server must be
// promoted, and no write may be refused.
func TestLeavingPrimary(t *testing.T) {
	s := startSystem(t, func(o *Options) { o.Accounts[0].Rate, o.Accounts[0].Burst = 100_000, 100_000 })
	conn := connect(t, s, 1, nil)
	write := func(id string) {
		t.Helper()
		if _, err := conn.Exec(t.Context(), "INSERT INTO box (id, v) VALUES ($1, 'x') /*route='box'*/", id); err != nil {
			t.Fatal(err)
		}
	}
	write("before")
	formerPrimary := s.Groups["orders"].Primary()
	text := strings.Replace(s.databasesSection(), "{name: "+formerPrimary.Name()+",", "{name: "+formerPrimary.Name()+", leaving: true,", 1)
	if _, err := configuration.Apply(t.Context(), s.Store, configuration.Change{
		RequestID: "leave", Time: time.Now(), BaseVersion: s.VMs[0].Version(), Texts: map[string]string{document.SectionDatabases: text},
	}); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	for n := 0; s.Groups["orders"].Primary() == formerPrimary; n++ {
		if time.Since(begin) > 20*time.Second {
			t.Fatal("the leaving primary was not replaced")
		}
		write("during" + strconv.Itoa(n))
	}
	write("after")
	if got := s.Groups["orders"].Primary().Name(); got == formerPrimary.Name() {
		t.Errorf("%s is the primary again", got)
	}
}

// TestReplicasFarBehind delays every replica's apply by 3 s. Replication lag alone must
// not cause a failover, since the primary still reaches its replicas.
func TestReplicasFarBehind(t *testing.T) {
	s := startSystem(t, func(o *Options) { o.Accounts[0].Rate, o.Accounts[0].Burst = 100_000, 100_000 })
	g := s.Groups["orders"]
	for _, v := range g.Servers() {
		v.SetApplyDelay(3000)
	}
	conn, initialPrimary := connect(t, s, 1, nil), g.Primary()
	for n, begin := 0, time.Now(); time.Since(begin) < 4*time.Second; n++ {
		if _, err := conn.Exec(t.Context(), "INSERT INTO box (id, v) VALUES ($1, 'x') /*route='box'*/", strconv.Itoa(n)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if p := g.Primary(); p != initialPrimary {
		t.Errorf("%s replaced %s, which still reached its replicas", p.Name(), initialPrimary.Name())
	}
}
