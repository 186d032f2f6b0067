package awprocess_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/io/awcommand"
)

// readOperationsPage returns the example sheet and the commands of the
// operators' page.
func readOperationsPage(t *testing.T) (sheet string, commands []string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for i, block := range strings.Split(string(page), "```") {
		kind, body, _ := strings.Cut(block, "\n")
		switch {
		case i%2 == 0:
		case kind == "csv":
			sheet = body
		case kind == "sh":
			commands = append(commands, strings.Split(strings.TrimSpace(body), "\n")...)
		}
	}
	return sheet, commands
}

// Guards against commands on the operators' page that do not work as shown.
func TestOperationsPage(t *testing.T) {
	sheet, commands := readOperationsPage(t)
	require.NotEmpty(t, sheet)
	require.GreaterOrEqual(t, len(commands), 8)
	f := startFleet(t, fleetConfig{})
	t.Setenv("AWCTL_ENTRY", f.Entries[1].Operators)
	t.Chdir(t.TempDir())
	require.NoError(t, os.WriteFile("sheet.csv", []byte(sheet), 0o600))
	for _, line := range commands {
		args := strings.Fields(line)
		require.Equal(t, "awctl", args[0])
		for _, format := range []string{"text", "json"} {
			var stdout, stderr bytes.Buffer
			code := awcommand.Ctl(append(args[1:], "-o", format), &stdout, &stderr)
			require.Equal(t, awcommand.ExitOK, code, "%s: %s%s", line, stdout.String(), stderr.String())
			require.NotEmpty(t, stdout.String(), line)
		}
	}
}

// Guards against awctl validate reporting only some of the errors of a sheet.
func TestValidateReportsEveryFault(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	file := filepath.Join(t.TempDir(), "sheet.csv")
	require.NoError(t, os.WriteFile(file, []byte(sheetHeader+"rota,v9,-1,atlantis,,checked\nrota,v1,1,merrimack,kitchen=0,maybe\n"), 0o600))
	var stdout, stderr bytes.Buffer
	code := awcommand.Ctl([]string{"--entry", f.Entries[0].Operators, "validate", file}, &stdout, &stderr)
	require.Equal(t, awcommand.ExitFailed, code)
	out := stdout.String() + stderr.String()
	for _, position := range []string{"2:6", "2:9", "2:12", "3:1", "3:29", "3:31"} {
		require.Contains(t, out, position+":", out)
	}
}
