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

// Guards against metrics that the metrics page does not list, and against
// listed metrics that no process exports.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	documented := map[string]bool{}
	for _, name := range metricName.FindAllString(string(page), -1) {
		documented[name] = true
	}
	f := startFleet(t, fleetConfig{})
	for i := range 3 {
		f.requireStream(i, 5, "counted")
	}
	exported := map[string]bool{}
	// A histogram is exported from its first value on, so all agents are queried.
	urls := []string{f.Entries[0].Operators}
	for _, n := range f.engines {
		urls = append(urls, n.Local)
	}
	for _, url := range urls {
		for _, name := range f.metricNames(url) {
			exported[name] = true
		}
	}
	for name := range exported {
		require.True(t, documented[name], "%s is not listed on the page", name)
	}
	// These are exported from their first event on.
	for _, rare := range []string{
		"arbutuswind_entry_problems_total", "arbutuswind_agent_refused_total",
		"arbutuswind_agent_limit_lowered_total", "arbutuswind_agent_queue_wait_seconds",
	} {
		exported[rare] = true
	}
	for name := range documented {
		require.True(t, exported[name], "%s is listed on the page but not exported", name)
	}
}

// histogramSuffix matches the suffixes of the series of a histogram or summary.
var histogramSuffix = regexp.MustCompile(`_(bucket|sum|count)$`)

func (f *fleet) metricNames(base string) []string {
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
