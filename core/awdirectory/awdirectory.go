// Package awdirectory holds what an entry knows about where requests may go:
// the operators' configuration and the list of backend servers.
//
// A [Config] is a whole version of the configuration and never changes once
// it is indexed. A [Table] of backend servers is brought up to date row by
// row; every start of a backend server is an incarnation of its own. Neither
// goes back to an older state when a lagging store shows one.
package awdirectory

import (
	"slices"
	"strings"
	"time"
)

// RequestKind states what may be repeated.
type RequestKind int

// The kinds of request.
const (
	NonIdempotent RequestKind = iota // runs at most once for each attempt of a caller
	Idempotent
	Stream // numbered events; repeated only where the route is resumable
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests of one host and path go.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             RequestKind
	Targets          []Target
	MaxAttempts      int           // backend servers that one attempt of a caller may reach
	Timeout          time.Duration // after which the caller gets a final answer
	LatencyObjective time.Duration // to the answer, or to the first event of a stream
	MaxEventGap      time.Duration // longest pause of a stream that is still on time
	Priority         int           // 0 is the most urgent
	Public           bool          // needs no key
	Resumable        bool          // a stream may go on elsewhere after its last event
	Regions          []string      // that may serve it; empty means all
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Team is a customer of the operators, known by its keys.
type Team struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before that of the route
	Regions     []string
}

// Service is a set of backend servers that answer alike.
type Service struct {
	Name     string
	MaxConns int     // connections of all callers to one backend server
	ColdRate float64 // requests a second that a cold backend server bears
	Engine   bool    // its backend servers are model engines
	Model    Model   // weights that the engines serve; no name for plain services
	Origin   Origin  // set for the service that hands out weights
}

// Model is what a weight transfer needs to know about a service's weights.
type Model struct {
	Name       string
	Chunks     int
	ChunkBytes int
}

// Origin is the source of weights.
type Origin struct {
	Address string
	Domain  string
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Team
	byService map[string]*Service
}

// Index prepares a configuration for lookups and returns it. It must not be
// changed after that.
func (c *Config) Index() *Config {
	c.byHost, c.byKey, c.byService = map[string][]*Route{}, map[string]*Team{}, map[string]*Service{}
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
			c.byKey[k] = &c.Teams[i]
		}
	}
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
	return c
}

// Route returns the route with the longest prefix of path at host, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, or nil.
func (c *Config) Team(key string) *Team { return c.byKey[key] }

// HasTeams reports whether callers must show a key.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service { return c.byService[name] }

// PickService returns the service for a request of the route; point is a random
// number in [0, 1). It returns "" for a route without targets.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := point * float64(total)
	for _, t := range r.Targets {
		if at -= float64(t.Weight); at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) > 0 {
		return r.Targets[len(r.Targets)-1].Service
	}
	return ""
}

// RegionAllowed reports whether both the route and the team allow a region. A
// nil team allows every region.
func RegionAllowed(r *Route, t *Team, region string) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return t == nil || len(t.Regions) == 0 || slices.Contains(t.Regions, region)
}
