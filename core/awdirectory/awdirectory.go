// Package awdirectory holds the data by which requests are routed: the
// operators' configuration and the list of backend servers.
//
// A [Config] is a complete version of the configuration and is immutable once
// it is indexed. A [Table] of backend servers is updated row by row; each start
// of a backend server is a separate incarnation. Neither reverts to an older
// state when a store lags behind.
package awdirectory

import (
	"slices"
	"strings"
	"time"
)

// RequestKind determines whether a request may be repeated.
type RequestKind int

// The kinds of requests.
const (
	NonIdempotent RequestKind = iota // runs at most once per attempt of a caller
	Idempotent
	Stream // response of numbered events; repeated only if the route is resumable
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the other targets of the route
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             RequestKind
	Targets          []Target
	MaxAttempts      int           // maximum number of backend servers that one attempt of a caller may reach
	Timeout          time.Duration // time within which the caller gets a final response
	LatencyObjective time.Duration // target time to the response, or to the first event of a stream
	MaxEventGap      time.Duration // target for the longest pause between events of a stream
	Priority         int           // 0 is the most urgent
	Public           bool          // needs no API key
	Resumable        bool          // another backend server may continue a stream after its last event
	Regions          []string      // regions that may serve it; empty means all
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Team is a customer of the operators, identified by its API keys.
type Team struct {
	Name        string
	Keys        []string // API keys
	Priority    int      // 0 is the most urgent
	HasPriority bool     // Priority overrides that of the route
	Regions     []string // regions that may serve the team; empty means all
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name     string
	MaxConns int     // maximum number of connections to one backend server, from all entries together
	ColdRate float64 // requests per second that a cold backend server can handle
	Engine   bool    // its backend servers are model engines
	Model    Model   // model that the engines serve; its name is empty for plain services
	Origin   Origin  // set for the service from which weights are fetched
}

// Model describes the weights of a service as needed for their transfer.
type Model struct {
	Name       string
	Chunks     int
	ChunkBytes int
}

// Origin is the server from which weights are fetched.
type Origin struct {
	Address string
	Domain  string
}

// Limits holds the limits for requests of callers.
type Limits struct {
	BodyBytes int64 // maximum size of a request body
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	byHost    map[string][]*Route // longest prefix first
	byAPIKey  map[string]*Team
	byService map[string]*Service
	contended map[string]bool // services whose stream routes differ in priority or latency objective
}

// Index prepares a configuration for lookups and returns it. The configuration
// must not be changed afterwards.
func (c *Config) Index() *Config {
	c.byHost, c.byAPIKey, c.byService = map[string][]*Route{}, map[string]*Team{}, map[string]*Service{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			c.byAPIKey[k] = &c.Teams[i]
		}
	}
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
	c.contended = contendedServices(c.Routes)
	return c
}

// contendedServices returns the services whose stream routes differ in priority or
// latency objective.
func contendedServices(routes []Route) map[string]bool {
	type terms struct {
		priority  int
		objective time.Duration
	}
	first, contended := map[string]terms{}, map[string]bool{}
	for i := range routes {
		r := &routes[i]
		if r.Kind != Stream {
			continue
		}
		for _, t := range r.Targets {
			own := terms{r.Priority, r.LatencyObjective}
			if other, ok := first[t.Service]; ok && other != own {
				contended[t.Service] = true
			}
			first[t.Service] = own
		}
	}
	return contended
}

// Route returns the route of host with the longest prefix that matches path, or
// nil if there is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team to which an API key belongs, or nil.
func (c *Config) Team(apiKey string) *Team { return c.byAPIKey[apiKey] }

// HasTeams reports whether any teams are configured. If so, callers must present
// an API key.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.byService[name] }

// Contended reports whether the stream routes of a service differ in priority or
// latency objective, so that their callers compete for its capacity on unequal
// terms.
func (c *Config) Contended(service string) bool { return c.contended[service] }

// PickService chooses the service for a request of the route according to the
// weights of the targets. point is a random number in [0, 1). It returns "" for
// a route without targets.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * float64(total)
	for _, t := range r.Targets {
		if remaining -= float64(t.Weight); remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) > 0 {
		return r.Targets[len(r.Targets)-1].Service
	}
	return ""
}

// RegionAllowed reports whether both the route and the team allow a region. A
// nil team allows all regions.
func RegionAllowed(r *Route, t *Team, region string) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return t == nil || len(t.Regions) == 0 || slices.Contains(t.Regions, region)
}

// Entry is a registered entry.
type Entry struct {
	Name string
	// Address is where other entries reach it, IP:port. Empty if it has not
	// registered one.
	Address string
	// Incarnation identifies the start of the entry that has registered. 0 if it
	// has not said.
	Incarnation uint64
	// Domain is its failure domain. Empty if it has not said.
	Domain string
}

// IsListed reports whether this start of an entry is among the registered ones.
// Another start of it may have replaced or removed its registration.
func (e Entry) IsListed(list []Entry) bool {
	return slices.ContainsFunc(list, func(other Entry) bool { return other.Name == e.Name && other.Incarnation == e.Incarnation })
}

// EntryNames returns the names of entries.
func EntryNames(list []Entry) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.Name
	}
	return names
}
