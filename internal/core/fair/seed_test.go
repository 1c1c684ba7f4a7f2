package fair

import "flag"

// The seed of the random checks is fixed, so that every run gives the same result;
// -rapid.seed sets another, 0 a random one.
func init() { _ = flag.Set("rapid.seed", "1") }
