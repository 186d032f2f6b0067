package awsettings

import (
	"fmt"
	"net"
	"time"
)

// Entry holds the settings of awentry.
type Entry struct {
	Process  Process
	Listen   EntryListen
	Platform Platform
	TLS      TLS
	Trace    Trace
	Limits   EntryLimits
	Claims   Claims
	Timing   EntryTiming
}

// EntryListen holds the listen addresses of awentry, each as IP:port.
type EntryListen struct {
	Callers   string
	Operators string
	Inner     string
}

// EntryLimits holds the size, deadline and removal limits of an entry.
type EntryLimits struct {
	MaxBodyBytes    int      // body size of one request
	HeldBytes       int      // buffered bytes of all streams together
	StreamBytes     int      // buffered bytes per stream
	DefaultDeadline Duration // of requests without a deadline
	MaxDeadline     Duration
	MaxRemovedShare float64 // fraction of the desired replicas that one sheet may remove, 0 to 1
	MemoryMiB       int     // memory above which the process is killed
	MaxFiles        int     // file descriptors that the process may open; 0 means its resource limit
}

// EntryTiming holds the intervals and timeouts of an entry.
type EntryTiming struct {
	ConfigPoll   Duration // minimum interval between reads of the head row
	ListPoll     Duration // interval between reads of the instance list
	Heartbeat    Duration // interval of the heartbeats on Watch streams
	MissingAfter Duration // how long an instance may be silent before it is replaced
	MaxIsolation Duration // how long an entry works without any configuration source
	Drain        Duration // how long running requests may take to finish on shutdown
}

// Agent holds the settings of awagent.
type Agent struct {
	Process  Process
	Listen   AgentListen
	Platform Platform
	TLS      TLS
	Trace    Trace
	Backend  Backend
	Limits   AgentLimits
	Weights  Weights
	Timing   AgentTiming
}

// AgentListen holds the listen addresses of awagent, each as IP:port.
type AgentListen struct {
	Inner      string // fixed per instance, so that a second agent fails to bind it
	Advertised string // address at which other processes reach Inner; empty means Inner
	Local      string // for the engine, health checks and metrics
}

// Backend describes the backend server on the agent's instance.
type Backend struct {
	URL     string
	Service string // name of the plain service; empty for a model engine
	Fencing string // "checked" or "ignored"
}

// AgentLimits limits the load on the backend server and the agent's queue.
type AgentLimits struct {
	MaxInFlight   int
	ColdInFlight  int
	MaxQueue      int
	QueueBytes    int
	MemoryBytes   uint64 // engine memory available to running requests
	BytesPerToken uint64
	PauseAfter    Duration // how long a stream may lack flow-control credit before the engine's stream is cancelled
	MemoryMiB     int      // memory of the process besides weights
	MaxFiles      int      // file descriptors that the process may open; 0 means its resource limit
}

// Weights limits the memory and bandwidth used to transfer weights.
type Weights struct {
	MemoryBytes uint64  // instance memory for weights held by the agent
	LinkMbit    float64 // bandwidth of the instance's link for weights; 0 means unlimited
	RegionMbit  float64 // bandwidth for weights from other regions, for the whole region; 0 means unlimited
	UploadSlots int
	StoreRegion string // region of the weight origin
}

// AgentTiming holds the intervals and timeouts of an agent.
type AgentTiming struct {
	EnginePoll   Duration
	ListPoll     Duration
	Announce     Duration
	MaxIsolation Duration
	PauseLimit   Duration // gap in execution after which the agent treats its process as paused
	Drain        Duration
}

// LoadEntry reads and checks the settings of awentry. Invalid settings are
// returned as an [*Error].
func LoadEntry(file string) (Entry, error) {
	cfg := DefaultEntry()
	err := load(file, &cfg)
	return cfg, err
}

// LoadAgent reads and checks the settings of awagent. Invalid settings are
// returned as an [*Error].
func LoadAgent(file string) (Agent, error) {
	cfg := DefaultAgent()
	err := load(file, &cfg)
	return cfg, err
}

func seconds(n float64) Duration { return Duration(n * float64(time.Second)) }

// DefaultEntry returns the default settings of awentry. Keys without a default
// are zero.
func DefaultEntry() Entry {
	return Entry{
		Process:  Process{Processors: 1},
		Platform: Platform{Timeout: seconds(2)},
		Trace:    Trace{SampleRatio: 0.01},
		Limits: EntryLimits{
			MaxBodyBytes: 1 << 20, HeldBytes: 64 << 20, StreamBytes: 64 << 10,
			DefaultDeadline: seconds(60), MaxDeadline: seconds(600), MaxRemovedShare: 0.3, MemoryMiB: 256,
		},
		Claims: defaultClaims(),
		Timing: EntryTiming{
			ConfigPoll: seconds(0.5), ListPoll: seconds(2), Heartbeat: seconds(1),
			MissingAfter: seconds(15), MaxIsolation: seconds(30), Drain: seconds(60),
		},
	}
}

// DefaultAgent returns the default settings of awagent. Keys without a default
// are zero.
func DefaultAgent() Agent {
	return Agent{
		Process:  Process{Processors: 1},
		Platform: Platform{Timeout: seconds(2)},
		Trace:    Trace{SampleRatio: 0.01},
		Backend:  Backend{Fencing: "checked"},
		Limits: AgentLimits{
			MaxInFlight: 64, ColdInFlight: 2, MaxQueue: 128, QueueBytes: 8 << 20,
			MemoryBytes: 1 << 30, BytesPerToken: 128 << 10, PauseAfter: seconds(5), MemoryMiB: 128,
		},
		Weights: Weights{MemoryBytes: 1 << 30, UploadSlots: 4},
		Timing: AgentTiming{
			EnginePoll: seconds(0.5), ListPoll: seconds(5), Announce: seconds(2),
			MaxIsolation: seconds(30), PauseLimit: seconds(2), Drain: seconds(60),
		},
	}
}

// problemList collects the problems of a settings file.
type problemList []Problem

func (ps *problemList) require(ok bool, key, format string, args ...any) {
	if !ok {
		*ps = append(*ps, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

func (ps *problemList) address(key, addr string) {
	host, _, err := net.SplitHostPort(addr)
	ps.require(err == nil && net.ParseIP(host) != nil, key, "%q is not allowed; want IP:port, e.g. 127.0.0.1:8080", addr)
}

func (ps *problemList) positive(key string, n float64) {
	ps.require(n > 0, key, "%v is not allowed; want a number above 0", n)
}

func (ps *problemList) duration(key string, d Duration) {
	ps.require(d > 0, key, "%s is not allowed; want a duration above 0s", d.Std())
}

func (ps *problemList) processLimits(memoryMiB, maxFiles int) {
	ps.positive("Limits.MemoryMiB", float64(memoryMiB))
	ps.require(maxFiles >= 0, "Limits.MaxFiles", "%d is not allowed; want 0 or more", maxFiles)
}

func (ps *problemList) process(p Process) {
	ps.require(p.Instance != "", "Process.Instance", "missing; want the unique name of the instance")
	ps.require(p.Domain != "", "Process.Domain", "missing; want the failure domain of the instance")
	ps.require(p.Region != "", "Process.Region", "missing; want the region of the instance")
	ps.require(p.Processors >= 0, "Process.Processors", "%d is not allowed; want 0 or more", p.Processors)
}

func (ps *problemList) common(p Process, t TLS, tr Trace) {
	ps.process(p)
	ps.require(t.Plain || (t.Certificate != "" && t.Key != "" && t.CA != ""), "TLS",
		"want Certificate, Key and CA, or Plain = true for plain TCP")
	ps.require(tr.SampleRatio >= 0 && tr.SampleRatio <= 1, "Trace.SampleRatio", "%v is not allowed; want 0 to 1", tr.SampleRatio)
}

func (c *Entry) check() []Problem {
	var ps problemList
	ps.common(c.Process, c.TLS, c.Trace)
	ps.address("Listen.Callers", c.Listen.Callers)
	ps.address("Listen.Operators", c.Listen.Operators)
	ps.address("Listen.Inner", c.Listen.Inner)
	ps.require(c.Platform.TableURL != "", "Platform.TableURL", "missing; want the URL of the table service")
	ps.require(c.Platform.InstanceListURL != "", "Platform.InstanceListURL", "missing; want the URL of the instance list")
	ps.positive("Limits.MaxBodyBytes", float64(c.Limits.MaxBodyBytes))
	ps.positive("Limits.HeldBytes", float64(c.Limits.HeldBytes))
	ps.require(c.Limits.StreamBytes >= 4<<10 && c.Limits.StreamBytes <= 64<<10, "Limits.StreamBytes",
		"%d is not allowed; want 4096 to 65536", c.Limits.StreamBytes)
	ps.duration("Limits.DefaultDeadline", c.Limits.DefaultDeadline)
	ps.duration("Limits.MaxDeadline", c.Limits.MaxDeadline)
	ps.require(c.Limits.MaxRemovedShare >= 0 && c.Limits.MaxRemovedShare <= 1, "Limits.MaxRemovedShare",
		"%v is not allowed; want 0 to 1", c.Limits.MaxRemovedShare)
	ps.processLimits(c.Limits.MemoryMiB, c.Limits.MaxFiles)
	c.Claims.check(&ps, c.Limits.MaxDeadline)
	ps.duration("Timing.ConfigPoll", c.Timing.ConfigPoll)
	ps.duration("Timing.ListPoll", c.Timing.ListPoll)
	ps.duration("Timing.Heartbeat", c.Timing.Heartbeat)
	ps.duration("Timing.MissingAfter", c.Timing.MissingAfter)
	ps.duration("Timing.MaxIsolation", c.Timing.MaxIsolation)
	ps.duration("Timing.Drain", c.Timing.Drain)
	return ps
}

func (c *Agent) check() []Problem {
	var ps problemList
	ps.common(c.Process, c.TLS, c.Trace)
	ps.address("Listen.Inner", c.Listen.Inner)
	if c.Listen.Advertised != "" {
		ps.address("Listen.Advertised", c.Listen.Advertised)
	}
	ps.address("Listen.Local", c.Listen.Local)
	ps.require(c.Platform.InstanceListURL != "", "Platform.InstanceListURL", "missing; want the URL of the instance list")
	ps.require(c.Backend.URL != "", "Backend.URL", "missing; want the URL of the backend server")
	ps.require(c.Backend.Fencing == "checked" || c.Backend.Fencing == "ignored", "Backend.Fencing",
		"%q is not allowed; want \"checked\" or \"ignored\"", c.Backend.Fencing)
	ps.positive("Limits.MaxInFlight", float64(c.Limits.MaxInFlight))
	ps.require(c.Limits.ColdInFlight > 0 && c.Limits.ColdInFlight <= c.Limits.MaxInFlight, "Limits.ColdInFlight",
		"%d is not allowed; want 1 to Limits.MaxInFlight", c.Limits.ColdInFlight)
	ps.require(c.Limits.MaxQueue >= 0, "Limits.MaxQueue", "%d is not allowed; want 0 or more", c.Limits.MaxQueue)
	ps.positive("Limits.MemoryBytes", float64(c.Limits.MemoryBytes))
	ps.positive("Limits.BytesPerToken", float64(c.Limits.BytesPerToken))
	ps.duration("Limits.PauseAfter", c.Limits.PauseAfter)
	ps.processLimits(c.Limits.MemoryMiB, c.Limits.MaxFiles)
	ps.positive("Weights.MemoryBytes", float64(c.Weights.MemoryBytes))
	ps.positive("Weights.UploadSlots", float64(c.Weights.UploadSlots))
	ps.duration("Timing.EnginePoll", c.Timing.EnginePoll)
	ps.duration("Timing.ListPoll", c.Timing.ListPoll)
	ps.duration("Timing.Announce", c.Timing.Announce)
	ps.duration("Timing.MaxIsolation", c.Timing.MaxIsolation)
	ps.duration("Timing.PauseLimit", c.Timing.PauseLimit)
	ps.duration("Timing.Drain", c.Timing.Drain)
	return ps
}
