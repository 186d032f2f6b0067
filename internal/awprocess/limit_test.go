package awprocess_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awbench"
	"arbutuswind/io/awcontrol"
)

// Guards against entries that do not enforce a team's rate limit, and against
// a violation of NotRunIsTrue for calls that exceed it.
func TestTeamLimit(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	acc, err := f.Entries[0].Operator().Change(f.ctx, awcontrol.ChangeRequest{
		Kind: awconfig.KindTeamLimit, Target: "parish", Rate: 1, Actor: "test",
	})
	require.NoError(t, err)
	require.NoError(t, f.WaitInForce(f.ctx, acc.Revision))
	call := awbench.Call{Model: "rota", Prompt: "limited", MaxTokens: 1, Team: "parish"}
	require.NoError(t, awbench.WaitFor(f.ctx, "a refusal", func() (bool, error) {
		a, err := f.caller.Stream(f.ctx, f.Entries[1].Callers, call)
		if err != nil || a.Status == http.StatusOK {
			return false, err
		}
		require.Equal(t, http.StatusTooManyRequests, a.Status)
		require.Equal(t, "not-run", a.Outcome)
		return true, nil
	}))
	for i := range 3 {
		f.requireStream(i, 2, "another team")
	}
}
