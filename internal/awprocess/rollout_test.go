package awprocess_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/internal/awbench"
	"arbutuswind/internal/awstandin"
)

// Guards against a version that no engine can load taking callers' service
// away, and against a halt that cannot be lifted.
func TestVersionThatDoesNotLoadIsHalted(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	for _, e := range f.engines {
		require.NoError(t, awbench.Fault(e.Backend, awstandin.EngineFault{FailLoad: true}))
	}
	sheet := sheetHead + "rota,v2,3," + allDomains + ",,checked\n"
	f.apply(sheet)
	require.NoError(t, awbench.WaitFor(f.ctx, "the halt", func() (bool, error) {
		st, err := f.Entries[1].Operator().Status(f.ctx)
		return err == nil && len(st.State.Halted) == 1, err
	}))
	f.serving("v1", 3)

	for _, e := range f.engines {
		require.NoError(t, awbench.Fault(e.Backend, awstandin.EngineFault{}))
	}
	f.apply(sheet)
	f.serving("v2", 3)
}
