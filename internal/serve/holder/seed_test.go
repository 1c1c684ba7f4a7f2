package holder

import "flag"

// The seed of the random tests is fixed, so that every run has the same result;
// -rapid.seed sets another one, and 0 a random one.
func init() { _ = flag.Set("rapid.seed", "1") }
