package awcontrol_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awcontrol"
)

// Guards ConfigMonotonic: no process returns to an older revision, no accepted
// change is lost or committed twice, and a revision has the same content in all
// processes. The faults are concurrent writers, lost replies, store outages,
// process restarts and store resets.
func TestLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := openPlatform(rt)
		defer pl.close()
		procs := []process{pl.process(), pl.process(), pl.process()}
		highest := make([]uint64, len(procs))
		accepted := map[string]bool{} // by target: whether the accepted change must survive
		storeReset, down, targets := false, false, 0
		steps := rapid.IntRange(5, 40).Draw(rt, "steps")
		for range steps {
			i := rapid.IntRange(0, len(procs)-1).Draw(rt, "process")
			p := procs[i]
			switch rapid.SampledFrom([]string{"commit", "commit", "commit", "poll", "poll", "lose", "down", "up", "restart", "back", "accept"}).Draw(rt, "step") {
			case "commit":
				targets++
				target := fmt.Sprintf("domain-%d", targets)
				_, err := p.log.Commit(t.Context(), p.holder.State().Revision, awconfig.Change{Kind: awconfig.KindDomainOut, Target: target})
				if err == nil {
					require.False(rt, down, "accepted while the store was down")
					accepted[target] = accepted[target] || !storeReset // accepting a reset may drop changes committed after it
				}
			case "poll":
				_ = p.log.Poll(t.Context())
			case "lose":
				if !down {
					pl.fault(awstandin.PlatformFault{LoseReplies: rapid.IntRange(1, 3).Draw(rt, "lost")})
				}
			case "down":
				pl.fault(awstandin.PlatformFault{StoreDown: true})
				down = true
			case "up":
				pl.fault(awstandin.PlatformFault{})
				down = false
			case "restart":
				if !storeReset { // after a store reset, an entry asks its peers before it starts
					procs[i], highest[i] = pl.process(), 0
				}
			case "back":
				if storeReset || down {
					break
				}
				pl.post("/admin/save", nil)
				if _, err := p.log.Commit(t.Context(), p.holder.State().Revision, awconfig.Change{Kind: awconfig.KindDomainOut, Target: "lost"}); err == nil {
					pl.post("/admin/restore", nil)
					storeReset = true
				}
			case "accept":
				var reset *awcontrol.ResetError
				if !storeReset || !errors.As(p.log.Poll(t.Context()), &reset) {
					break
				}
				if _, err := p.log.AcceptReset(t.Context(), "ana", "test"); err == nil {
					storeReset = false
				}
			}
			for j, q := range procs {
				require.GreaterOrEqual(rt, q.holder.State().Revision, highest[j], "process %d returned to an older revision", j)
				highest[j] = q.holder.State().Revision
			}
		}
		if storeReset {
			return
		}
		pl.fault(awstandin.PlatformFault{})
		last := pl.process()
		require.NoError(rt, last.log.Poll(t.Context()))
		for target, keep := range accepted {
			require.True(rt, !keep || last.holder.State().Domains[target].Out, "accepted change of %s was lost", target)
		}
		for j, q := range procs {
			require.NoError(rt, q.log.Poll(t.Context()), "process %d", j)
			require.Equal(rt, last.holder.State().Digest(), q.holder.State().Digest(), "process %d", j)
		}
	})
}
