package awsettings

import (
	"net"
	"time"
)

// Fleet holds the settings of awgateway and awloader, the programs that run
// on a platform with a store of its own.
type Fleet struct {
	Process Process
	Regions map[string]string // region of each failure domain
	Listen  FleetListen
	Store   FleetStore
	Backend FleetBackend
	Bounds  FleetBounds
	Limits  FleetLimits
}

// FleetListen holds the addresses of a process.
type FleetListen struct {
	Callers string // IP:port; awgateway
	Ready   string // IP:port; awgateway
	Address string // IP for the internal protocol and the metrics
	// InnerPort carries the internal protocol: weight pieces over TCP and load
	// reports over UDP.
	InnerPort int
	// MetricsPort serves metrics; 0 turns them off.
	MetricsPort int
}

// FleetStore names the platform's store.
type FleetStore struct {
	Address string // IP:port
}

// FleetBackend names the backend server beside awloader.
type FleetBackend struct {
	Address string // IP:port
	Service string
}

// FleetBounds are the bounds that operators set for all processes together.
type FleetBounds struct {
	RetryRatio  float64  // repetitions for each request of a service
	RetryFloor  int      // repetitions in a window without any request
	RetryWindow Duration // in which both are counted
	Version     Duration // from the naming of a version until no request begins on older weights
	Grace       Duration // from SIGTERM to SIGKILL
	DrainNotice Duration // from the notice that a backend server leaves until it gets no more requests
}

// FleetLimits describes the instance.
type FleetLimits struct {
	MemoryMiB int     // above which the process is killed
	LinkMbit  float64 // rate of the instance's link
}

// DefaultFleet returns the settings that a file may leave out.
func DefaultFleet() Fleet {
	return Fleet{
		Process: Process{Processors: 1},
		Bounds: FleetBounds{
			RetryRatio: 0.1, RetryFloor: 10, RetryWindow: Duration(10 * time.Second), Version: Duration(10 * time.Second),
			Grace: Duration(8 * time.Second), DrainNotice: Duration(2 * time.Second),
		},
		Limits: FleetLimits{MemoryMiB: 128},
	}
}

// LoadGateway reads the settings of awgateway.
func LoadGateway(file string) (Fleet, error) {
	cfg := gatewaySettings{DefaultFleet()}
	err := load(file, &cfg)
	return cfg.Fleet, err
}

// LoadLoader reads the settings of awloader.
func LoadLoader(file string) (Fleet, error) {
	cfg := loaderSettings{DefaultFleet()}
	err := load(file, &cfg)
	return cfg.Fleet, err
}

type gatewaySettings struct{ Fleet }

func (g *gatewaySettings) check() []Problem {
	f := g.faults()
	f.address("Listen.Callers", g.Listen.Callers)
	f.address("Listen.Ready", g.Listen.Ready)
	return f
}

type loaderSettings struct{ Fleet }

func (l *loaderSettings) check() []Problem {
	f := l.faults()
	f.address("Backend.Address", l.Backend.Address)
	f.require(l.Backend.Service != "", "Backend.Service", "missing; want the service of the backend server")
	return f
}

func (c *Fleet) faults() faults {
	var f faults
	f.process(c.Process)
	f.address("Store.Address", c.Store.Address)
	f.require(net.ParseIP(c.Listen.Address) != nil, "Listen.Address", "%q is not allowed; want an IP address", c.Listen.Address)
	f.port("Listen.InnerPort", c.Listen.InnerPort, 1)
	f.port("Listen.MetricsPort", c.Listen.MetricsPort, 0)
	f.require(c.Regions[c.Process.Domain] == c.Process.Region, "Regions."+c.Process.Domain,
		"%q is not allowed; want Process.Region, %q", c.Regions[c.Process.Domain], c.Process.Region)
	f.require(c.Bounds.RetryRatio >= 0, "Bounds.RetryRatio", "%v is not allowed; want 0 or more", c.Bounds.RetryRatio)
	f.require(c.Bounds.RetryFloor >= 0, "Bounds.RetryFloor", "%d is not allowed; want 0 or more", c.Bounds.RetryFloor)
	f.duration("Bounds.RetryWindow", c.Bounds.RetryWindow)
	f.duration("Bounds.Version", c.Bounds.Version)
	f.duration("Bounds.Grace", c.Bounds.Grace)
	f.duration("Bounds.DrainNotice", c.Bounds.DrainNotice)
	f.positive("Limits.MemoryMiB", float64(c.Limits.MemoryMiB))
	return f
}

func (f *faults) port(key string, port, least int) {
	const maxPort = 1<<16 - 1
	f.require(port >= least && port <= maxPort, key, "%d is not allowed; want %d to %d", port, least, maxPort)
}
