package awsettings

import (
	"bytes"
	"strings"
)

func joinKey(key []string) string { return strings.Join(key, ".") }

// keyLines returns the line of each key of a settings file. The files hold
// only tables and plain keys, so a scan of the lines is enough; the library
// reports positions of faults it finds itself but not of decoded keys.
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
