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

const page = "../../docs/settings.md"

// Guards against a key that operators cannot look up, or a page that differs
// from the program.
func TestEveryKeyIsDocumented(t *testing.T) {
	for _, k := range slices.Concat(awsettings.EntryKeys(), awsettings.AgentKeys(), awsettings.FleetKeys()) {
		require.NotEmpty(t, k.Unit, k.Name)
		require.NotEmpty(t, k.Range, k.Name)
		require.NotEmpty(t, k.Meaning, k.Name)
	}
	want := awsettings.Markdown()
	if os.Getenv("UPDATE") != "" {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o600))
	}
	got, err := os.ReadFile(page)
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

// Guards against settings out of range that are taken over, or refused
// without the line and what is allowed.
func TestLoadEntryFaults(t *testing.T) {
	load := func(text string) error {
		file := filepath.Join(t.TempDir(), "entry.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := awsettings.LoadEntry(file)
		return err
	}
	require.NoError(t, load(entryFile))
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":      {entryFile + "Plan = 1\n", "entry.toml:14: TLS.Plan: unknown key"},
		"share above one":  {entryFile + "[Limits]\nMaxRemovedShare = 1.5\n", "entry.toml:15: Limits.MaxRemovedShare: 1.5 is not allowed; want 0 to 1"},
		"no duration":      {entryFile + "[Timing]\nConfigPoll = \"soon\"\n", "entry.toml:15: Timing.ConfigPoll"},
		"duration of zero": {entryFile + "[Timing]\nConfigPoll = \"0s\"\n", "entry.toml:15: Timing.ConfigPoll: 0s is not allowed"},
		"plain is a must":  {strings.Replace(entryFile, "Plain = true", "CA = \"ca.pem\"", 1), "entry.toml:12: TLS: want Certificate, Key and CA, or Plain = true"},
		"address by name":  {strings.Replace(entryFile, "127.0.0.1:8080", "localhost:8080", 1), "entry.toml:6: Listen.Callers"},
	} {
		err := load(c.text)
		require.Error(t, err, name)
		require.Contains(t, err.Error(), c.want, name)
	}
}
