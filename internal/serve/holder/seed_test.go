package holder

import "flag"

// The seed of the random tests is fixed, so that every run draws the same values.
// -rapid.seed sets another one; 0 selects a random one.
func init() { _ = flag.Set("rapid.seed", "1") }
