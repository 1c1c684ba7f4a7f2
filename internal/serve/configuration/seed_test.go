package configuration

import "flag"

// The seed of the random tests is fixed so that every run gives the same result. The flag
// -rapid.seed sets another seed; 0 chooses a random one.
func init() { _ = flag.Set("rapid.seed", "1") }
