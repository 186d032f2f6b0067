package awbench

import (
	"os"
	"strings"
)

// loadAverage returns the load of the machine over the last minute, which
// tells whether others disturbed a measurement.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return strings.Fields(string(data))[0]
}
