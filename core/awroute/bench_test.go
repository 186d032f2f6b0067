package awroute

import "testing"

// BenchmarkSubset computes the subset of one model at the design size: 390
// entries and 7,300 agents, of which each of ten models has 730.
func BenchmarkSubset(b *testing.B) {
	entries, agents := newFleet(390, 730, 9)
	for b.Loop() {
		Subset(entries[0], entries, agents)
	}
}
