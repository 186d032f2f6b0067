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

// EntryListen holds the addresses of awentry, IP:port each.
type EntryListen struct {
	Callers   string
	Operators string
	Inner     string
}

// EntryLimits bounds what an entry holds.
type EntryLimits struct {
	MaxBodyBytes    int      // of one request
	HeldBytes       int      // across all streams
	StreamBytes     int      // per stream
	DefaultDeadline Duration // of requests that state none
	MaxDeadline     Duration
	MaxRemovedShare float64 // of the wanted replicas that one sheet may remove, 0 to 1
}

// EntryTiming holds the periods of an entry.
type EntryTiming struct {
	ConfigPoll   Duration // least period between reads of the head row
	ListPoll     Duration // period of instance list reads
	Heartbeat    Duration // Watch period
	MissingAfter Duration // silence before an instance is replaced
	MaxIsolation Duration // without any configuration source
	Drain        Duration // time for running requests at a planned stop
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

// AgentListen holds the addresses of awagent, IP:port each.
type AgentListen struct {
	Inner      string // fixed for the instance: binding it makes this the only agent
	Advertised string // address at which others reach Inner; empty means Inner
	Local      string // for the engine and for metrics
}

// Backend describes the backend server beside the agent.
type Backend struct {
	URL     string
	Service string // name of the plain service; empty for a model engine
	Fencing string // "checked" or "ignored"
}

// AgentLimits protects the backend server.
type AgentLimits struct {
	MaxInFlight   int
	ColdInFlight  int
	MaxQueue      int
	QueueBytes    int
	MemoryBytes   uint64 // of the engine, for running requests
	BytesPerToken uint64
	PauseAfter    Duration // without credit before the engine stream is cancelled
}

// Weights bounds the exchange of weights.
type Weights struct {
	MemoryBytes uint64  // of the instance, for weights held by the agent
	LinkMbit    float64 // rate of the instance's link used for weights; 0 means unlimited
	RegionMbit  float64 // rate taken from a region link; 0 means unlimited
	UploadSlots int
	StoreRegion string // region of the weight origin
}

// AgentTiming holds the periods of an agent.
type AgentTiming struct {
	EnginePoll   Duration
	ListPoll     Duration
	Announce     Duration
	MaxIsolation Duration
	PauseLimit   Duration // gap after which the process takes itself for paused
	Drain        Duration
}

// LoadEntry reads the settings of awentry. Faults come as an [Error].
func LoadEntry(file string) (Entry, error) {
	cfg := DefaultEntry()
	err := load(file, &cfg)
	return cfg, err
}

// LoadAgent reads the settings of awagent. Faults come as an [Error].
func LoadAgent(file string) (Agent, error) {
	cfg := DefaultAgent()
	err := load(file, &cfg)
	return cfg, err
}

func seconds(n float64) Duration { return Duration(n * float64(time.Second)) }

// DefaultEntry returns the settings of awentry with every default.
func DefaultEntry() Entry {
	return Entry{
		Process:  Process{Processors: 1},
		Platform: Platform{Timeout: seconds(2)},
		Trace:    Trace{SampleRatio: 0.01},
		Limits: EntryLimits{
			MaxBodyBytes: 1 << 20, HeldBytes: 64 << 20, StreamBytes: 64 << 10,
			DefaultDeadline: seconds(60), MaxDeadline: seconds(600), MaxRemovedShare: 0.3,
		},
		Claims: defaultClaims(),
		Timing: EntryTiming{
			ConfigPoll: seconds(0.5), ListPoll: seconds(2), Heartbeat: seconds(1),
			MissingAfter: seconds(15), MaxIsolation: seconds(30), Drain: seconds(60),
		},
	}
}

// DefaultAgent returns the settings of awagent with every default.
func DefaultAgent() Agent {
	return Agent{
		Process:  Process{Processors: 1},
		Platform: Platform{Timeout: seconds(2)},
		Trace:    Trace{SampleRatio: 0.01},
		Backend:  Backend{Fencing: "checked"},
		Limits: AgentLimits{
			MaxInFlight: 64, ColdInFlight: 2, MaxQueue: 128, QueueBytes: 8 << 20,
			MemoryBytes: 1 << 30, BytesPerToken: 128 << 10, PauseAfter: seconds(5),
		},
		Weights: Weights{MemoryBytes: 1 << 30, UploadSlots: 4},
		Timing: AgentTiming{
			EnginePoll: seconds(0.5), ListPoll: seconds(5), Announce: seconds(2),
			MaxIsolation: seconds(30), PauseLimit: seconds(2), Drain: seconds(60),
		},
	}
}

// faults collects problems of a settings file.
type faults []Problem

func (f *faults) require(ok bool, key, format string, args ...any) {
	if !ok {
		*f = append(*f, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

func (f *faults) address(key, addr string) {
	host, _, err := net.SplitHostPort(addr)
	f.require(err == nil && net.ParseIP(host) != nil, key, "%q is not allowed; want IP:port, e.g. 127.0.0.1:8080", addr)
}

func (f *faults) positive(key string, n float64) {
	f.require(n > 0, key, "%v is not allowed; want a number above 0", n)
}

func (f *faults) duration(key string, d Duration) {
	f.require(d > 0, key, "%s is not allowed; want a duration above 0s", d.Std())
}

func (f *faults) process(p Process) {
	f.require(p.Instance != "", "Process.Instance", "missing; want the unique name of the instance")
	f.require(p.Domain != "", "Process.Domain", "missing; want the failure domain of the instance")
	f.require(p.Region != "", "Process.Region", "missing; want the region of the instance")
	f.require(p.Processors >= 0, "Process.Processors", "%d is not allowed; want 0 or more", p.Processors)
}

func (f *faults) common(p Process, t TLS, tr Trace) {
	f.process(p)
	f.require(t.Plain || (t.Certificate != "" && t.Key != "" && t.CA != ""), "TLS",
		"want Certificate, Key and CA, or Plain = true for plain TCP")
	f.require(tr.SampleRatio >= 0 && tr.SampleRatio <= 1, "Trace.SampleRatio", "%v is not allowed; want 0 to 1", tr.SampleRatio)
}

func (c *Entry) check() []Problem {
	var f faults
	f.common(c.Process, c.TLS, c.Trace)
	f.address("Listen.Callers", c.Listen.Callers)
	f.address("Listen.Operators", c.Listen.Operators)
	f.address("Listen.Inner", c.Listen.Inner)
	f.require(c.Platform.TableURL != "", "Platform.TableURL", "missing; want the URL of the table service")
	f.require(c.Platform.InstanceListURL != "", "Platform.InstanceListURL", "missing; want the URL of the instance list")
	f.positive("Limits.MaxBodyBytes", float64(c.Limits.MaxBodyBytes))
	f.positive("Limits.HeldBytes", float64(c.Limits.HeldBytes))
	f.require(c.Limits.StreamBytes >= 4<<10 && c.Limits.StreamBytes <= 64<<10, "Limits.StreamBytes",
		"%d is not allowed; want 4096 to 65536", c.Limits.StreamBytes)
	f.duration("Limits.DefaultDeadline", c.Limits.DefaultDeadline)
	f.duration("Limits.MaxDeadline", c.Limits.MaxDeadline)
	f.require(c.Limits.MaxRemovedShare >= 0 && c.Limits.MaxRemovedShare <= 1, "Limits.MaxRemovedShare",
		"%v is not allowed; want 0 to 1", c.Limits.MaxRemovedShare)
	c.Claims.check(&f, c.Limits.MaxDeadline)
	f.duration("Timing.ConfigPoll", c.Timing.ConfigPoll)
	f.duration("Timing.ListPoll", c.Timing.ListPoll)
	f.duration("Timing.Heartbeat", c.Timing.Heartbeat)
	f.duration("Timing.MissingAfter", c.Timing.MissingAfter)
	f.duration("Timing.MaxIsolation", c.Timing.MaxIsolation)
	f.duration("Timing.Drain", c.Timing.Drain)
	return f
}

func (c *Agent) check() []Problem {
	var f faults
	f.common(c.Process, c.TLS, c.Trace)
	f.address("Listen.Inner", c.Listen.Inner)
	if c.Listen.Advertised != "" {
		f.address("Listen.Advertised", c.Listen.Advertised)
	}
	f.address("Listen.Local", c.Listen.Local)
	f.require(c.Platform.InstanceListURL != "", "Platform.InstanceListURL", "missing; want the URL of the instance list")
	f.require(c.Backend.URL != "", "Backend.URL", "missing; want the URL of the backend server")
	f.require(c.Backend.Fencing == "checked" || c.Backend.Fencing == "ignored", "Backend.Fencing",
		"%q is not allowed; want \"checked\" or \"ignored\"", c.Backend.Fencing)
	f.positive("Limits.MaxInFlight", float64(c.Limits.MaxInFlight))
	f.require(c.Limits.ColdInFlight > 0 && c.Limits.ColdInFlight <= c.Limits.MaxInFlight, "Limits.ColdInFlight",
		"%d is not allowed; want 1 to Limits.MaxInFlight", c.Limits.ColdInFlight)
	f.require(c.Limits.MaxQueue >= 0, "Limits.MaxQueue", "%d is not allowed; want 0 or more", c.Limits.MaxQueue)
	f.positive("Limits.MemoryBytes", float64(c.Limits.MemoryBytes))
	f.positive("Limits.BytesPerToken", float64(c.Limits.BytesPerToken))
	f.duration("Limits.PauseAfter", c.Limits.PauseAfter)
	f.positive("Weights.MemoryBytes", float64(c.Weights.MemoryBytes))
	f.positive("Weights.UploadSlots", float64(c.Weights.UploadSlots))
	f.duration("Timing.EnginePoll", c.Timing.EnginePoll)
	f.duration("Timing.ListPoll", c.Timing.ListPoll)
	f.duration("Timing.Announce", c.Timing.Announce)
	f.duration("Timing.MaxIsolation", c.Timing.MaxIsolation)
	f.duration("Timing.PauseLimit", c.Timing.PauseLimit)
	f.duration("Timing.Drain", c.Timing.Drain)
	return f
}
