package awprocess_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/internal/awbench"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awsettings"
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

// Guards against chunks of two versions being mixed when the version changes
// while the last one is still being fetched, and against agents that finish a
// transfer nobody wants.
func TestVersionChangesDuringTransfer(t *testing.T) {
	f := startFleet(t, fleetConfig{tuneAgent: func(s *awsettings.Agent) { s.Weights.LinkMbit = 8 }})
	fetching := func() (bool, error) {
		st, err := f.Entries[0].Operator().Status(f.ctx)
		if err != nil {
			return false, err
		}
		for _, a := range st.Agents {
			if a.Chunks > 0 && a.ChunksHeld > 0 && a.ChunksHeld < a.Chunks {
				return true, nil
			}
		}
		return false, nil
	}
	want := ""
	for i, version := range []string{"v2", "v3"} {
		m, err := f.Publish("rota", version, awbench.RandomWeights(uint64(i)+2, 4<<20), 64<<10)
		require.NoError(t, err)
		want = m.FileDigest
		f.apply(sheetHead + "rota," + version + ",3," + allDomains + ",,checked\n")
		if version == "v2" {
			require.NoError(t, awbench.WaitFor(f.ctx, "a transfer", fetching))
		}
	}
	f.serving("v3", 3)
	for _, e := range f.engines {
		var st awengine.Status
		require.NoError(t, awbench.GetJSON(e.Backend+"/status", &st))
		require.Equal(t, want, st.Digest)
	}
}

// Guards against a version that does not fit beside the served one never
// arriving: its replicas must be drained first.
func TestVersionWithoutRoomIsDrained(t *testing.T) {
	const buffers = 8 * 64 << 10
	f := startFleet(t, fleetConfig{tuneAgent: func(s *awsettings.Agent) {
		s.Limits.MaxInFlight = 8
		s.Weights.MemoryBytes = buffers + 3<<19 // one and a half versions
	}})
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.apply(sheetHead + "rota,v2,3," + allDomains + ",,checked\n")
	f.serving("v2", 3)
}
