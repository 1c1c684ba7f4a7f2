package fair

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestOrder plays scripts of pushes, removals and pops.
func TestOrder(t *testing.T) {
	var cases []struct {
		Name    string         `yaml:"name"`
		Limit   int            `yaml:"limit"`
		Weights map[string]int `yaml:"weights"`
		// Steps are "push ACCOUNT COUNT", "remove ACCOUNT INDEX", "shed ACCOUNT PRIORITY" and "pop
		// COUNT". ACCOUNT:PRIORITY pushes items of a priority, which is shown if it is not 0.
		Steps []string `yaml:"steps"`
		Want  []string `yaml:"want"`
	}
	scripted.Read(t, "testdata/order.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			q := New(c.Limit)
			pushed := map[string][]*Item{}
			var got []string
			for _, s := range c.Steps {
				var verb, account string
				var n int
				f := strings.Fields(s)
				verb = f[0]
				if len(f) == 3 {
					account = f[1]
				}
				if _, err := fmt.Sscan(f[len(f)-1], &n); err != nil {
					t.Fatal(err)
				}
				switch verb {
				case "push":
					account, priority := parseAccount(t, account)
					for range n {
						it := &Item{Account: account, Weight: c.Weights[account], Cost: 1, Priority: priority}
						if !q.Push(it) {
							got = append(got, "full")
						}
						pushed[account] = append(pushed[account], it)
					}
				case "shed":
					it := q.LeastUrgent(account, n)
					if it == nil {
						got = append(got, "none")
						continue
					}
					q.Remove(it)
					got = append(got, "shed "+describe(it))
				case "remove":
					q.Remove(pushed[account][n])
				case "pop":
					waiting := q.Waiting()
					for i := range n {
						it := q.Pop()
						if i < len(waiting) && waiting[i] != it {
							t.Errorf("pop %d does not return the next of the items that waited", i)
						}
						if it == nil {
							got = append(got, "none")
							continue
						}
						got = append(got, describe(it))
					}
				}
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}

// parseAccount parses ACCOUNT or ACCOUNT:PRIORITY.
func parseAccount(t *testing.T, text string) (account string, priority int) {
	t.Helper()
	account, number, ok := strings.Cut(text, ":")
	if ok {
		if _, err := fmt.Sscan(number, &priority); err != nil {
			t.Fatal(err)
		}
	}
	return account, priority
}

func describe(it *Item) string {
	if it.Priority == 0 {
		return it.Account
	}
	return fmt.Sprintf("%s:%d", it.Account, it.Priority)
}

// oracle keeps the items in one list and computes their order at each step.
type oracle struct {
	virtualTime float64
	finish      map[string]float64
	items       []*Item
	arrival     map[*Item]float64
}

// startTimes computes the start of each waiting item from its arrival and the finish of
// its account's previous item. For the first waiting item, that is the last one popped.
func (o *oracle) startTimes() map[*Item]float64 {
	out, finish := map[*Item]float64{}, map[string]float64{}
	for _, it := range o.items {
		last, ok := finish[it.Account]
		if !ok {
			last = o.finish[it.Account]
		}
		out[it] = max(o.arrival[it], last)
		finish[it.Account] = out[it] + it.Cost/float64(it.Weight)
	}
	return out
}

func (o *oracle) pop() *Item {
	starts := o.startTimes()
	var best *Item
	for _, it := range o.items {
		if best == nil || starts[it] < starts[best] || starts[it] == starts[best] && it.Account < best.Account {
			best = it
		}
	}
	if best == nil {
		return nil
	}
	o.virtualTime = max(o.virtualTime, starts[best])
	o.finish[best.Account] = starts[best] + best.Cost/float64(best.Weight)
	o.remove(best)
	return best
}

func (o *oracle) remove(it *Item) {
	o.items = slices.DeleteFunc(o.items, func(x *Item) bool { return x == it })
	if len(o.items) == 0 {
		o.virtualTime, o.finish = 0, map[string]float64{}
	}
}

// TestAgainstOracle compares the queue with the oracle under random operations.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		q := New(limit)
		o := &oracle{finish: map[string]float64{}, arrival: map[*Item]float64{}}
		weights := map[string]int{"a": 1, "b": 2, "c": 4}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				it := &Item{Account: account, Weight: weights[account], Cost: float64(rapid.IntRange(1, 3).Draw(t, "cost"))}
				n := 0
				for _, x := range o.items {
					if x.Account == account {
						n++
					}
				}
				if got := q.Push(it); got != (n < limit) {
					t.Fatalf("Push with %d items of the account waiting returned %v", n, got)
				}
				if n < limit {
					o.arrival[it] = o.virtualTime
					o.items = append(o.items, it)
				}
			},
			"remove": func(t *rapid.T) {
				if len(o.items) == 0 {
					t.Skip("nothing waits")
				}
				it := rapid.SampledFrom(o.items).Draw(t, "item")
				q.Remove(it)
				// Removing an item that no longer waits must change nothing.
				q.Remove(it)
				o.remove(it)
			},
			"pop": func(t *rapid.T) {
				if got, want := q.Pop(), o.pop(); got != want {
					t.Fatalf("pop: got %+v, want %+v", got, want)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(o.items) {
					t.Fatalf("length %d, want %d", q.Len(), len(o.items))
				}
			},
		})
	})
}

// TestSweepDropsIdleAccounts checks that account queues do not pile up in a Queue
// that never runs empty: many accounts are served once each, while another one always
// has an item waiting.
func TestSweepDropsIdleAccounts(t *testing.T) {
	q := New(4)
	for i := range 10_000 {
		q.Push(&Item{Account: "heavy", Weight: 1, Cost: 1})
		q.Push(&Item{Account: fmt.Sprint(i), Weight: 1, Cost: 1})
		for q.Len() > 2 {
			q.Pop()
		}
	}
	if n := len(q.accounts); n > 2*minSweepThreshold {
		t.Errorf("%d account queues are kept for %d items", n, q.Len())
	}
}

// TestAhead checks the number of items before a new one: all of an account that has many
// waiting, and few for another account.
func TestAhead(t *testing.T) {
	q := New(100)
	for range 20 {
		q.Push(&Item{Account: "flood", Cost: 1, Weight: 1})
	}
	q.Push(&Item{Account: "calm", Cost: 1, Weight: 1})
	got := []int{q.Ahead("flood", 0), q.Ahead("calm", 0), q.Ahead("other", 0), New(1).Ahead("other", 0)}
	if diff := cmp.Diff([]int{21, 3, 2, 0}, got); diff != "" {
		t.Errorf("items ahead of one of flood, calm and other, and in an empty queue (-want +got):\n%s", diff)
	}
}

// TestAheadAgainstPops pushes items of random accounts and checks that as many items as
// Ahead told are taken before the last one.
func TestAheadAgainstPops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(1000)
		account := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				q.Pop()
				continue
			}
			q.Push(&Item{Account: account.Draw(t, "account"), Cost: 1, Weight: rapid.IntRange(1, 8).Draw(t, "weight"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
		}
		last := &Item{Account: account.Draw(t, "account"), Cost: 1, Weight: rapid.IntRange(1, 8).Draw(t, "weight"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
		ahead, ties := q.Ahead(last.Account, last.Priority), 0
		q.Push(last)
		taken := 0
		for it := q.Pop(); it != last; it = q.Pop() {
			taken++
		}
		// Items of equal start are ordered by account, so some may come after the last one.
		for it := q.Pop(); it != nil && it.start == last.start; it = q.Pop() {
			ties++
		}
		if ahead < taken || ahead > taken+ties {
			t.Errorf("%d items were taken before the last one, %d more start with it; told %d", taken, ties, ahead)
		}
	})
}
