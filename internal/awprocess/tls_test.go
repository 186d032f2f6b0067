package awprocess_test

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awbench"
)

// Guards against features that fail over mutual TLS: weight transfer between
// agents, streams and their resumption after the loss of an agent, keyed calls
// and configuration changes.
func TestFleetOverTLS(t *testing.T) {
	f := startFleet(t, fleetConfig{tls: true, engineArgs: slowTokens})
	f.changeConfig(0, awconfig.KindDomainOut, awbench.Sites[2].Domain)
	f.changeConfig(1, awconfig.KindDomainIn, awbench.Sites[2].Domain)
	r := f.startStreams(0, 3, 60)
	require.NoError(t, f.engines[0].Process.Signal(syscall.SIGKILL))
	r.requireAllWhole()
	for i := range 2 {
		a, err := f.caller.Service(f.ctx, f.Entries[i].Callers, "roster", "assign", "shift-3", []byte("x"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status, "outcome %q body %s", a.Outcome, a.Body)
	}
	require.Equal(t, 1, f.runsByKey()["shift-3"])
	f.requireStream(1, 5, "over TLS")
}
