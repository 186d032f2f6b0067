package awsettings

import (
	"bytes"
	"strings"
)

func joinKey(key []string) string { return strings.Join(key, ".") }

// keyLines returns the line number of each key and table of a settings file.
// The TOML library gives positions only in its own errors, not for decoded keys.
// A scan of the lines is enough because the files hold only tables and plain
// keys.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	table := ""
	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[] ") + "."
			lines[strings.TrimSuffix(table, ".")] = i + 1
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			lines[table+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}
