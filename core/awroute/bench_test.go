package awroute

import "testing"

// BenchmarkSubset takes one of ten models at the design size.
func BenchmarkSubset(b *testing.B) {
	es, as := fleetOf(390, 730, 9)
	for b.Loop() {
		Subset(es[0], es, as)
	}
}
