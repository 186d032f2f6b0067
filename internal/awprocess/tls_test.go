package awprocess_test

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awbench"
)

// Guards the whole path over mutual TLS: weights between agents, streams,
// a resume after the loss of an agent, a keyed call and a change.
func TestFleetOverTLS(t *testing.T) {
	f := startFleet(t, fleetConfig{tls: true, engineArgs: slowTokens})
	f.change(0, awconfig.KindDomainOut, awbench.Sites[2].Domain)
	f.change(1, awconfig.KindDomainIn, awbench.Sites[2].Domain)
	r := f.background(0, 3, 60)
	require.NoError(t, f.engines[0].Process.Signal(syscall.SIGKILL))
	r.allWhole()
	for i := range 2 {
		a, err := f.caller.Service(f.ctx, f.Entries[i].Callers, "roster", "assign", "shift-3", []byte("x"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status, "outcome %q body %s", a.Outcome, a.Body)
	}
	require.Equal(t, 1, f.runs()["shift-3"])
	f.stream(1, 5, "over TLS")
}
