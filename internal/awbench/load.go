package awbench

import (
	"os"
	"strings"
)

// loadAverage returns the one-minute load average of the machine, which shows
// whether other processes may have distorted a measurement. It is empty if
// /proc/loadavg can't be read.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return strings.Fields(string(data))[0]
}
