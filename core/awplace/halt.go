package awplace

import (
	"fmt"
	"maps"
	"slices"

	"arbutuswind/core/awconfig"
)

// haltShare of the replicas must fail to serve a version that others serve
// before it is halted; fewer failures point at the instances.
const haltShare = 4

// VersionToHalt returns a version to halt and why. A version is halted when instances
// could not load it repeatedly, or failed its first requests, and either no instance serves it or a quarter
// of the replicas, at least two, failed. Only a version with a predecessor
// that is not halted is stopped, since otherwise nothing could serve instead.
func VersionToHalt(s *awconfig.State, observed []Instance) (digest, reason string, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		m := s.Models[name]
		if _, halted := s.Halted[m.Digest]; halted || m.Previous == nil || m.Previous.Digest == m.Digest {
			continue
		}
		if _, halted := s.Halted[m.Previous.Digest]; halted {
			continue
		}
		failed, serving, why := 0, 0, ""
		for _, in := range observed {
			if s.Placements[in.ID].Digest != m.Digest {
				continue
			}
			if in.ServingDigest == m.Digest {
				serving++
			} else if in.FailedDigest == m.Digest {
				failed++
				why = fmt.Sprintf("%s: %s", in.ID, in.FailureReason)
			}
		}
		if failed > 0 && (serving == 0 || failed >= max(2, (m.Replicas+haltShare-1)/haltShare)) {
			return m.Digest, fmt.Sprintf("%d instances could not serve it, %d do; %s", failed, serving, why), true
		}
	}
	return "", "", false
}
