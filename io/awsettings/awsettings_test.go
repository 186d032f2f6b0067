package awsettings_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/io/awsettings"
)

const settingsPage = "../../docs/settings.md"

// Guards against settings without documentation and against a docs/settings.md
// that does not match the code.
func TestEveryKeyIsDocumented(t *testing.T) {
	for _, k := range slices.Concat(awsettings.EntryKeys(), awsettings.AgentKeys(), awsettings.FleetKeys()) {
		require.NotEmpty(t, k.Unit, k.Name)
		require.NotEmpty(t, k.Range, k.Name)
		require.NotEmpty(t, k.Meaning, k.Name)
	}
	want := awsettings.Markdown()
	if os.Getenv("UPDATE") != "" {
		require.NoError(t, os.WriteFile(settingsPage, []byte(want), 0o600))
	}
	got, err := os.ReadFile(settingsPage)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run UPDATE=1 go test ./io/awsettings")
}

const entryFile = `[Process]
Instance = "entry-0"
Domain = "serra"
Region = "south"
[Listen]
Callers = "127.0.0.1:8080"
Operators = "127.0.0.1:8081"
Inner = "127.0.0.1:8082"
[Platform]
TableURL = "http://127.0.0.1:9000"
InstanceListURL = "http://127.0.0.1:9000/instances"
[TLS]
Plain = true
`

// Guards against invalid settings that are accepted, and against errors that
// lack the line, the key or the allowed values.
func TestLoadEntryFaults(t *testing.T) {
	load := func(text string) error {
		file := filepath.Join(t.TempDir(), "entry.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := awsettings.LoadEntry(file)
		return err
	}
	require.NoError(t, load(entryFile))
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":          {entryFile + "Plan = 1\n", "entry.toml:14: TLS.Plan: unknown key"},
		"share above one":      {entryFile + "[Limits]\nMaxRemovedShare = 1.5\n", "entry.toml:15: Limits.MaxRemovedShare: 1.5 is not allowed; want 0 to 1"},
		"invalid duration":     {entryFile + "[Timing]\nConfigPoll = \"soon\"\n", "entry.toml:15: Timing.ConfigPoll"},
		"zero duration":        {entryFile + "[Timing]\nConfigPoll = \"0s\"\n", "entry.toml:15: Timing.ConfigPoll: 0s is not allowed"},
		"incomplete TLS":       {strings.Replace(entryFile, "Plain = true", "CA = \"ca.pem\"", 1), "entry.toml:12: TLS: want Certificate, Key and CA, or Plain = true"},
		"host name in address": {strings.Replace(entryFile, "127.0.0.1:8080", "localhost:8080", 1), "entry.toml:6: Listen.Callers"},
	} {
		err := load(c.text)
		require.Error(t, err, name)
		require.Contains(t, err.Error(), c.want, name)
	}
}
