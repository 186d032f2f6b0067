package awsettings

import (
	"net"
	"time"
)

// Fleet holds the settings of awgateway and awloader, which run on a platform
// that provides its own store.
type Fleet struct {
	Process Process
	Regions map[string]string // failure domain to region
	Listen  FleetListen
	Store   FleetStore
	Backend FleetBackend
	Bounds  FleetBounds
	Limits  FleetLimits
	Balance FleetBalance
	Duties  FleetDuties
}

// FleetListen holds the listen addresses and ports of a process.
type FleetListen struct {
	Callers string // IP:port, only awgateway
	Ready   string // IP:port of the readiness check, only awgateway
	Address string // IP for the internal protocol and the metrics
	// InnerPort is the port of the internal protocol: weight chunks over TCP
	// and load reports over UDP.
	InnerPort int
	// MetricsPort is the port that serves metrics; 0 disables them.
	MetricsPort int
}

// FleetStore holds the address of the platform's store.
type FleetStore struct {
	Address string // IP:port
}

// FleetBackend describes the backend server on awloader's instance.
type FleetBackend struct {
	Address string // IP:port
	Service string
}

// FleetBounds holds the limits that operators set for the whole fleet.
type FleetBounds struct {
	RetryRatio  float64  // retries allowed per request of a service
	RetryFloor  int      // retries allowed in a window without any requests
	RetryWindow Duration // over which requests and retries are counted
	Version     Duration // from when a version is desired until no request may begin on older weights
	Grace       Duration // from SIGTERM to SIGKILL
	DrainNotice Duration // from the notice that a backend server is leaving until it gets no more requests
	Stable      Duration // from the end of an outage until its effects must be over
}

// FleetLimits holds the limits of the process and the link bandwidth of the instance.
type FleetLimits struct {
	MemoryMiB int     // memory above which the process is killed
	MaxFiles  int     // file descriptors that the process may open; 0 means its resource limit
	LinkMbit  float64 // bandwidth of the instance's link; 0 means unlimited
}

// FleetBalance holds how awgateway spreads load over backend servers.
type FleetBalance struct {
	// Enabled has the load of all services balanced by demand. That of engines of
	// services whose stream routes differ in priority or objective always is.
	Enabled bool
}

// FleetDuties describes the calls that one gateway at a time makes to the platform.
type FleetDuties struct {
	Address   string   // IP:port that takes the calls; empty if there are no duties
	Names     []string // of the duties
	PerSecond float64  // calls of all instances together; 0 means unlimited
	Lease     Duration // within which the holder must not change and change back
	Window    Duration // of usage reports
	UsageLate Duration // from the end of a window until its report is due
	Tolerance float64  // fraction by which a count may be off
}

// DefaultFleet returns the default settings of awgateway and awloader. Keys
// without a default are zero.
func DefaultFleet() Fleet {
	return Fleet{
		Process: Process{Processors: 1},
		Bounds: FleetBounds{
			RetryRatio: 0.1, RetryFloor: 10, RetryWindow: Duration(10 * time.Second), Version: Duration(10 * time.Second),
			Grace: Duration(8 * time.Second), DrainNotice: Duration(2 * time.Second), Stable: Duration(3 * time.Second),
		},
		Limits: FleetLimits{MemoryMiB: 128},
		Duties: FleetDuties{Lease: Duration(3 * time.Second), Window: Duration(5 * time.Second), UsageLate: Duration(10 * time.Second), Tolerance: 0.05},
	}
}

// LoadGateway reads and checks the settings of awgateway. Invalid settings are
// returned as an [*Error].
func LoadGateway(file string) (Fleet, error) {
	cfg := gatewaySettings{DefaultFleet()}
	err := load(file, &cfg)
	return cfg.Fleet, err
}

// LoadLoader reads and checks the settings of awloader. Invalid settings are
// returned as an [*Error].
func LoadLoader(file string) (Fleet, error) {
	cfg := loaderSettings{DefaultFleet()}
	err := load(file, &cfg)
	return cfg.Fleet, err
}

type gatewaySettings struct{ Fleet }

func (g *gatewaySettings) check() []Problem {
	ps := g.checkCommon()
	ps.address("Listen.Callers", g.Listen.Callers)
	ps.address("Listen.Ready", g.Listen.Ready)
	return ps
}

type loaderSettings struct{ Fleet }

func (l *loaderSettings) check() []Problem {
	ps := l.checkCommon()
	ps.address("Backend.Address", l.Backend.Address)
	ps.require(l.Backend.Service != "", "Backend.Service", "missing; want the service of the backend server")
	return ps
}

func (c *Fleet) checkCommon() problemList {
	var ps problemList
	ps.process(c.Process)
	ps.address("Store.Address", c.Store.Address)
	ps.require(net.ParseIP(c.Listen.Address) != nil, "Listen.Address", "%q is not allowed; want an IP address", c.Listen.Address)
	ps.port("Listen.InnerPort", c.Listen.InnerPort, 1)
	ps.port("Listen.MetricsPort", c.Listen.MetricsPort, 0)
	ps.require(c.Regions[c.Process.Domain] == c.Process.Region, "Regions."+c.Process.Domain,
		"%q is not allowed; want Process.Region, %q", c.Regions[c.Process.Domain], c.Process.Region)
	ps.require(c.Bounds.RetryRatio >= 0, "Bounds.RetryRatio", "%v is not allowed; want 0 or more", c.Bounds.RetryRatio)
	ps.require(c.Bounds.RetryFloor >= 0, "Bounds.RetryFloor", "%d is not allowed; want 0 or more", c.Bounds.RetryFloor)
	ps.duration("Bounds.RetryWindow", c.Bounds.RetryWindow)
	ps.duration("Bounds.Version", c.Bounds.Version)
	ps.duration("Bounds.Grace", c.Bounds.Grace)
	ps.duration("Bounds.DrainNotice", c.Bounds.DrainNotice)
	ps.duration("Bounds.Stable", c.Bounds.Stable)
	c.Duties.check(&ps)
	ps.processLimits(c.Limits.MemoryMiB, c.Limits.MaxFiles)
	return ps
}

func (d *FleetDuties) check(ps *problemList) {
	if d.Address == "" {
		return
	}
	ps.address("Duties.Address", d.Address)
	ps.require(d.PerSecond >= 0, "Duties.PerSecond", "%v is not allowed; want 0 or more", d.PerSecond)
	ps.duration("Duties.Lease", d.Lease)
	ps.duration("Duties.Window", d.Window)
	ps.duration("Duties.UsageLate", d.UsageLate)
	ps.require(d.Tolerance >= 0 && d.Tolerance <= 1, "Duties.Tolerance", "%v is not allowed; want 0 to 1", d.Tolerance)
}

func (ps *problemList) port(key string, port, minPort int) {
	const maxPort = 1<<16 - 1
	ps.require(port >= minPort && port <= maxPort, key, "%d is not allowed; want %d to %d", port, minPort, maxPort)
}
