package awroute

import "testing"

// BenchmarkSubset computes the subset of one of ten models for 390 entries and
// 7,300 agents, the fleet size that the system is designed for.
func BenchmarkSubset(b *testing.B) {
	entries, agents := newFleet(390, 730, 9)
	for b.Loop() {
		Subset(entries[0], entries, agents)
	}
}
