package awbench

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Reading is the resource usage and network traffic of a process at one time.
type Reading struct {
	Usage
	At                   time.Time
	RPCBytes, StoreBytes float64 // cumulative, sent and received
}

// ReadUsage reads the usage of the process from /proc and its traffic from the
// metrics at the URL.
func ReadUsage(p *Process, metricsURL string) (Reading, error) {
	u, err := p.Usage()
	if err != nil {
		return Reading{}, err
	}
	r := Reading{Usage: u, At: time.Now()}
	return r, r.readMetrics(metricsURL)
}

func (r *Reading) readMetrics(url string) error {
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
			continue // comments and the like have no numeric value
		}
		switch name {
		case "arbutuswind_rpc_sent_bytes_total", "arbutuswind_rpc_received_bytes_total":
			r.RPCBytes += v
		case "arbutuswind_store_sent_bytes_total", "arbutuswind_store_received_bytes_total":
			r.StoreBytes += v
		}
	}
	return eris.Wrap(scan.Err(), "read metrics")
}

// Cost is the mean resource usage per process.
type Cost struct {
	CorePercent      float64 // CPU time in percent of one core
	RSSMB            float64
	RPCBytesPerSec   float64
	StoreBytesPerSec float64
}

// MeanCost returns the mean over all processes between two readings of each.
// Elements of before and after with the same index are of the same process.
func MeanCost(before, after []Reading) Cost {
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
	return c
}
