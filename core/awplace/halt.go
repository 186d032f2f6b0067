package awplace

import (
	"fmt"
	"maps"
	"slices"

	"arbutuswind/core/awconfig"
)

// haltDivisor sets the share of replicas, a quarter, that must fail before a
// version that other instances serve is halted. Fewer failures are blamed on the
// instances rather than the version.
const haltDivisor = 4

// VersionToHalt returns the digest of a version to halt and the reason; ok is
// false when there is none.
//
// A version is halted when instances repeatedly could not load it or failed its
// first requests, and either no instance serves it, or at least a quarter of the
// replicas and no fewer than two failed. A version is halted only if its
// predecessor exists and is not halted, since otherwise no version would be left
// to serve.
func VersionToHalt(s *awconfig.State, observed []Instance) (digest, reason string, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		m := s.Models[name]
		if _, halted := s.Halted[m.Digest]; halted || m.Previous == nil || m.Previous.Digest == m.Digest {
			continue
		}
		if _, halted := s.Halted[m.Previous.Digest]; halted {
			continue
		}
		failed, serving, lastFailure := 0, 0, ""
		for _, in := range observed {
			if s.Placements[in.ID].Digest != m.Digest {
				continue
			}
			if in.ServingDigest == m.Digest {
				serving++
			} else if in.FailedDigest == m.Digest {
				failed++
				lastFailure = fmt.Sprintf("%s: %s", in.ID, in.FailureReason)
			}
		}
		if failed > 0 && (serving == 0 || failed >= max(2, (m.Replicas+haltDivisor-1)/haltDivisor)) {
			return m.Digest, fmt.Sprintf("%d instances failed to serve the version, %d serve it; last failure: %s", failed, serving, lastFailure), true
		}
	}
	return "", "", false
}
