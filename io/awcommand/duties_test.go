package awcommand

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awdirectory"
	"arbutuswind/io/awsettings"
	"arbutuswind/platform"
)

// Guards against calls of the store and messages in deployments without duties.
func TestNoDutiesUnlessNamed(t *testing.T) {
	cfg := awsettings.DefaultFleet()
	run := func(address string, names ...string) bool {
		cfg.Duties.Address, cfg.Duties.Names = address, names
		return newDuties(cfg, awdirectory.Entry{Name: "e"}, platform.NewStore("127.0.0.1:1"), log.NewNopLogger()) != nil
	}
	require.False(t, run("", "usage_report"))
	require.False(t, run("127.0.0.1:1"))
	require.False(t, run("127.0.0.1:1", "autoscale"))
	require.True(t, run("127.0.0.1:1", "usage_report"))
}
