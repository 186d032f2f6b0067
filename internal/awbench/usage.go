package awbench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is the CPU time and memory of a process.
type Usage struct {
	CPU      time.Duration // user and system time
	RSSBytes uint64
	PeakRSS  uint64 // bytes
}

// ticksPerSecond is the number of clock ticks per second that Linux uses for
// CPU times in /proc.
const ticksPerSecond = 100

// Usage reads the usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	var u Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return u, eris.Wrap(err, "read CPU times")
	}
	// The program name may contain spaces, so split after its closing
	// parenthesis.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userTime, systemTime = 11, 12
	if len(fields) <= systemTime {
		return u, eris.Errorf("/proc stat of process %d has only %d fields after the program name", p.PID(), len(fields))
	}
	var ticks int64
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, eris.Wrap(err, "parse CPU times")
		}
		ticks += n
	}
	u.CPU = time.Duration(ticks) * time.Second / ticksPerSecond
	return u, p.memory(&u)
}

func (p *Process) memory(u *Usage) error {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return eris.Wrap(err, "read process memory")
	}
	for line := range strings.Lines(string(status)) {
		name, rest, _ := strings.Cut(line, ":")
		if name != "VmRSS" && name != "VmHWM" {
			continue
		}
		kib, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err != nil {
			return eris.Wrap(err, "parse process memory")
		}
		if name == "VmRSS" {
			u.RSSBytes = kib << 10
		} else {
			u.PeakRSS = kib << 10
		}
	}
	return nil
}

// Slope is the least-squares line y = Base + PerUnit*x. Spread is the largest
// vertical distance of a point from the line, divided by the largest y.
type Slope struct {
	Base    float64
	PerUnit float64
	Spread  float64
}

// Point is one measurement.
type Point struct{ X, Y float64 }

// FitSlope fits a line by least squares. At least two points must differ in X.
func FitSlope(points []Point) Slope {
	var n, sx, sy, sxx, sxy, maxY float64
	for _, p := range points {
		n++
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		maxY = max(maxY, p.Y)
	}
	s := Slope{PerUnit: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	s.Base = (sy - s.PerUnit*sx) / n
	for _, p := range points {
		s.Spread = max(s.Spread, abs(p.Y-s.Base-s.PerUnit*p.X)/maxY)
	}
	return s
}

func abs(x float64) float64 { return max(x, -x) }
