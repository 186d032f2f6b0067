package awcommand

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/io/awsettings"
)

const fleetSettings = `
[Process]
Instance = "edge-1"
Domain = "z"
Region = "r"
[Regions]
"z" = "r"
[Listen]
Address = "10.0.0.1"
InnerPort = 7700
Callers = "10.0.0.1:80"
Ready = "10.0.0.1:81"
[Store]
Address = "10.0.0.2:90"
[Bounds]
RetryFloor = 104
`

// Guards against a process that exits on SIGHUP, and against invalid settings
// that are applied.
func TestSettingsReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(fleetSettings), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	applied := make(chan awsettings.Fleet, 1)
	loads := make(chan error, 1)
	watchSettings(ctx, log.NewNopLogger(), file, func(f string) (awsettings.Fleet, error) {
		cfg, err := awsettings.LoadGateway(f)
		loads <- err
		return cfg, err
	}, func(cfg awsettings.Fleet) { applied <- cfg })
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.NoError(t, <-loads)
	require.Equal(t, 104, (<-applied).Bounds.RetryFloor)

	require.NoError(t, os.WriteFile(file, []byte(fleetSettings+"Unknown = 1\n"), 0o600))
	require.Error(t, <-loads, "a changed file must be loaded without a signal")
	require.Empty(t, applied)
}

// Guards against programs that start with incomplete settings.
func TestFleetSettingsValidation(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(fleetSettings), 0o600))
	_, err := awsettings.LoadGateway(file)
	require.NoError(t, err)
	_, err = awsettings.LoadLoader(file)
	require.ErrorContains(t, err, "Backend.Address")
	require.ErrorContains(t, err, "Backend.Service")
	require.NoError(t, os.WriteFile(file, []byte("[Process]\nInstance = \"a\"\nDomain = \"z\"\nRegion = \"r\"\n"), 0o600))
	_, err = awsettings.LoadGateway(file)
	for _, key := range []string{"Store.Address", "Listen.Callers", "Listen.InnerPort", "Regions.z"} {
		require.ErrorContains(t, err, key)
	}
}
