package holder

import (
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// TestTransactionsNeverMix opens, uses, ends and disconnects transactions of
// one holder in random order. Each writes only one row of its own. A wrong row, or
// a commit or rollback that affects another's row, shows that two transactions
// shared a connection, as does a violation of the invariant OneTransaction. A
// setting of one transaction must not be seen by the next.
func TestTransactionsNeverMix(t *testing.T) {
	g, servers := startGroup(t, "one")
	// poolSize leaves 3 of the 4 connections for transactions.
	servers[0].Connections = 4
	h := startHolderWithLock(t, Options{Server: servers[0]})
	lastRow, committed := 0, map[string]string{}
	rapid.Check(t, func(t *rapid.T) {
		type openTransaction struct {
			call  *call
			row   string
			value int
		}
		var open []*openTransaction
		expect := func(o *openTransaction, sql string, want ...string) {
			if got, _ := o.call.run(backend.QueryMessage(sql)); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%s: got %q, want %q", sql, got, want)
			}
		}
		// pick removes a random transaction from open and returns it.
		pick := func(t *rapid.T) *openTransaction {
			if len(open) == 0 {
				t.Skip("no transaction is open")
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "transaction")
			o := open[i]
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
			return o
		}
		defer func() {
			for _, o := range open {
				o.call.exchange.Close()
				<-o.call.done
			}
		}()
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if len(open) == 3 {
					t.Skip("no connection is left")
				}
				lastRow++
				o := &openTransaction{call: startCall(h, inner.Begin{Kind: document.KindWrite}), row: strconv.Itoa(lastRow)}
				expect(o, "BEGIN; INSERT INTO box (id, v) VALUES ('"+o.row+"', '0')", "C BEGIN", "C INSERT 0 1", "Z T")
				open = append(open, o)
			},
			"use": func(t *rapid.T) {
				o := pick(t)
				o.value++
				expect(o, "UPDATE box SET v = v + 1 WHERE id = '"+o.row+"' RETURNING v", "T", "D "+strconv.Itoa(o.value), "C UPDATE 1", "Z T")
				open = append(open, o)
			},
			"commit": func(t *rapid.T) {
				o := pick(t)
				expect(o, "COMMIT", "C COMMIT", "Z I")
				<-o.call.done
				committed[o.row] = strconv.Itoa(o.value)
			},
			"rollback": func(t *rapid.T) {
				o := pick(t)
				expect(o, "ROLLBACK", "C ROLLBACK", "Z I")
				<-o.call.done
			},
			"cut": func(t *rapid.T) {
				o := pick(t)
				o.call.exchange.Close()
				<-o.call.done
			},
			"setting": func(t *rapid.T) {
				if len(open) == 3 {
					t.Skip("no connection is left")
				}
				b := inner.Begin{Kind: document.KindWrite}
				if got := runSimple(h, b, "SET search_path = 'mine'"); fmt.Sprint(got) != "[C SET Z I]" {
					t.Fatalf("SET: got %q", got)
				}
				if got := runSimple(h, b, "SHOW search_path"); fmt.Sprint(got) != "[T D  C SELECT 1 Z I]" {
					t.Fatalf("a setting outlived its transaction: %q", got)
				}
			},
			"": func(t *rapid.T) {
				for row := range lastRow {
					id := strconv.Itoa(row + 1)
					got, found := g.Server("one").Value("box", id)
					if want, ok := committed[id]; found != ok || got != want {
						t.Fatalf("row %s: got %q, want %q", id, got, want)
					}
				}
			},
		})
	})
}
