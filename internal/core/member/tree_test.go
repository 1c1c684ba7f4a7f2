package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTree checks, for zones of many sizes, that every VM but the root is a child of
// its relay, and the depth of the tree.
func TestTree(t *testing.T) {
	depths := map[int]int{}
	for _, size := range []int{1, 2, 3, 10, 11, 50, 150, 154, 155, 400} {
		var vms []VM
		for i := range size {
			vms = append(vms, VM{Name: fmt.Sprintf("vm%d", i), Zone: "a"})
		}
		tree := NewTree(vms, nil)
		for _, v := range vms {
			depth := 0
			for name := v.Name; !tree.IsRoot(name); depth++ {
				parent := tree.Parent(name, "a")
				if !slices.Contains(tree.Children(parent), name) {
					t.Fatalf("size %d: %s is no child of its relay %s", size, name, parent)
				}
				name = parent
			}
			depths[size] = max(depths[size], depth)
		}
	}
	want := map[int]int{1: 0, 2: 1, 3: 1, 10: 1, 11: 2, 50: 2, 150: 2, 154: 2, 155: 3, 400: 3}
	if diff := cmp.Diff(want, depths); diff != "" {
		t.Errorf("depth by zone size (-want +got):\n%s", diff)
	}
}
