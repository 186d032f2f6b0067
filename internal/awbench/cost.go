package awbench

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is what a process has consumed since its start.
type Usage struct {
	At                   time.Time
	CPU                  time.Duration
	RSSBytes             int64
	RPCBytes, StoreBytes float64 // sent and received
	RPCSent, RPCReceived float64
}

// ticksPerSecond is the unit of the times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// ReadUsage reads /proc of the process and the metrics at the URL.
func ReadUsage(pid int, metricsURL string) (Usage, error) {
	u := Usage{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, eris.Wrap(err, "read process times")
	}
	// The program name in parentheses may hold spaces; fields count from there.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21
	if len(fields) <= rss {
		return u, eris.Errorf("process %d: short stat line", pid)
	}
	var ticks, pages int64
	for _, i := range []int{utime, stime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, eris.Wrap(err, "parse process times")
		}
		ticks += n
	}
	if pages, err = strconv.ParseInt(fields[rss], 10, 64); err != nil {
		return u, eris.Wrap(err, "parse memory")
	}
	u.CPU = time.Duration(ticks) * time.Second / ticksPerSecond
	u.RSSBytes = pages * int64(os.Getpagesize())
	return u, u.readMetrics(metricsURL)
}

func (u *Usage) readMetrics(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return eris.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		name, value, _ := strings.Cut(scan.Text(), " ")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "RpcSentBytes":
			u.RPCSent += v
		case "RpcReceivedBytes":
			u.RPCReceived += v
		case "StoreSentBytes", "StoreReceivedBytes":
			u.StoreBytes += v
		}
	}
	u.RPCBytes = u.RPCSent + u.RPCReceived
	return eris.Wrap(scan.Err(), "read metrics")
}

// Cost is the mean use of one process.
type Cost struct {
	CorePercent       float64 // of one core
	RSSMB             float64
	RPCBytesPerSec    float64
	StoreBytesPerSec  float64
	ProcessesMeasured int
}

// MeanCost returns the mean of the processes between two readings.
func MeanCost(before, after []Usage) Cost {
	var c Cost
	for i := range before {
		s := after[i].At.Sub(before[i].At).Seconds()
		c.CorePercent += 100 * (after[i].CPU - before[i].CPU).Seconds() / s
		c.RSSMB += float64(after[i].RSSBytes) / (1 << 20)
		c.RPCBytesPerSec += (after[i].RPCBytes - before[i].RPCBytes) / s
		c.StoreBytesPerSec += (after[i].StoreBytes - before[i].StoreBytes) / s
	}
	n := float64(max(1, len(before)))
	c.CorePercent, c.RSSMB, c.RPCBytesPerSec, c.StoreBytesPerSec = c.CorePercent/n, c.RSSMB/n, c.RPCBytesPerSec/n, c.StoreBytesPerSec/n
	c.ProcessesMeasured = len(before)
	return c
}

// Slope returns the least-squares slope of y over x.
func Slope(x, y []float64) float64 {
	var mx, my, num, den float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(x))
	}
	for i := range x {
		num += (x[i] - mx) * (y[i] - my)
		den += (x[i] - mx) * (x[i] - mx)
	}
	if den == 0 {
		return 0
	}
	return num / den
}
