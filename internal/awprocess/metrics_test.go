package awprocess_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var metricName = regexp.MustCompile(`arbutuswind_[a-z_]+`)

// Guards the page of metrics against metrics that it does not name, and
// against names that no process has.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	named := map[string]bool{}
	for _, name := range metricName.FindAllString(string(page), -1) {
		named[name] = true
	}
	f := startFleet(t, fleetConfig{})
	for i := range 3 {
		f.stream(i, 5, "counted")
	}
	shown := map[string]bool{}
	// A histogram appears with its first value, so every agent is asked.
	urls := []string{f.Entries[0].Operators}
	for _, n := range f.engines {
		urls = append(urls, n.Local)
	}
	for _, url := range urls {
		for _, name := range f.metrics(url) {
			shown[name] = true
		}
	}
	for name := range shown {
		require.True(t, named[name], "%s is not on the page", name)
	}
	// These appear with their first event only.
	for _, rare := range []string{
		"arbutuswind_entry_problems_total", "arbutuswind_agent_refused_total",
		"arbutuswind_agent_limit_lowered_total", "arbutuswind_agent_queue_wait_seconds",
	} {
		shown[rare] = true
	}
	for name := range named {
		require.True(t, shown[name], "%s is on the page only", name)
	}
}

// histogramSuffix ends the names of the series of one histogram or summary.
var histogramSuffix = regexp.MustCompile(`_(bucket|sum|count)$`)

func (f *fleet) metrics(base string) []string {
	f.t.Helper()
	resp, err := http.Get(base + "/metrics")
	require.NoError(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	var names []string
	for _, name := range metricName.FindAllString(string(body), -1) {
		names = append(names, histogramSuffix.ReplaceAllString(name, ""))
	}
	return names
}
