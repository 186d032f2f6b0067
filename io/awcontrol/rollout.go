package awcontrol

import (
	"maps"
	"slices"

	"arbutuswind/core/awconfig"
)

// DomainRollout summarizes the rollout of a model version in one domain. Most
// fields count instances.
type DomainRollout struct {
	Domain      string
	Placed      int // instances placed for the model
	Fetching    int
	Held        int // all chunks held, not loaded yet
	Loading     int
	Warming     int // loaded, still in cold start
	Serving     int // serving the version after its cold start
	Old         int // still serving another version
	Silent      int // not reporting
	Failed      int
	NoRoom      int // must drain before they can fetch the version
	ChunksHeld  uint64
	Chunks      uint64
	OriginBytes uint64
	RegionBytes uint64
	PeerBytes   uint64
	Peers       uint32 // smallest number of peers of any fetching instance
	BadChunks   uint32
	EtaMs       uint32   // longest estimate of any instance
	Errors      []string `json:",omitempty"`
}

// RolloutStatus summarizes the rollout of one model.
type RolloutStatus struct {
	Model    string
	Version  string // version that the replicas should serve
	Digest   string
	Halted   string `json:",omitempty"` // why the rollout of the version in the sheet is halted; empty if it is not
	Replicas int
	Serving  int // replicas serving the version, including those in cold start
	Domains  []DomainRollout
}

// Values of [AgentStatus.State].
const (
	stateLoading = "LOADING"
	stateCold    = "COLD"
	stateSilent  = "SILENT"
)

// SummarizeRollout computes the rollout status of a model from the
// configuration and the status of the agents. It returns false if the model is
// unknown.
func SummarizeRollout(s *awconfig.State, agents []AgentStatus, model string) (RolloutStatus, bool) {
	m, ok := s.Models[model]
	if !ok {
		return RolloutStatus{}, false
	}
	target := s.Target(m)
	r := RolloutStatus{
		Model: model, Version: target.Version, Digest: target.Digest, Halted: s.Halted[m.Digest], Replicas: m.Replicas,
	}
	byDomain := map[string]*DomainRollout{}
	for _, a := range agents {
		if s.Placements[a.Instance].Model != model {
			continue
		}
		d := byDomain[a.Domain]
		if d == nil {
			d = &DomainRollout{Domain: a.Domain}
			byDomain[a.Domain] = d
		}
		d.add(a, target.Digest)
	}
	for _, name := range slices.Sorted(maps.Keys(byDomain)) {
		d := byDomain[name]
		r.Serving += d.Serving + d.Warming
		r.Domains = append(r.Domains, *d)
	}
	return r, true
}

func (d *DomainRollout) add(a AgentStatus, digest string) {
	d.Placed++
	if a.State == stateSilent {
		d.Silent++
		return
	}
	d.countState(a, digest)
	if a.VersionDigest != "" && a.VersionDigest != digest {
		d.Old++
	}
	if a.TransferDigest != digest {
		return
	}
	d.ChunksHeld += uint64(a.ChunksHeld)
	d.Chunks += uint64(a.Chunks)
	d.OriginBytes += a.OriginBytes
	d.RegionBytes += a.RegionBytes
	d.PeerBytes += a.PeerBytes
	d.BadChunks += a.BadChunks
	d.EtaMs = max(d.EtaMs, a.EtaMs)
	if a.NoRoom {
		d.NoRoom++
	}
	if a.TransferError != "" {
		d.Failed++
		d.Errors = append(d.Errors, a.Instance+": "+a.TransferError)
	}
}

func (d *DomainRollout) countState(a AgentStatus, digest string) {
	verified := a.TransferDigest == digest && a.Chunks > 0 && a.ChunksHeld == a.Chunks
	switch {
	case a.VersionDigest == digest && a.State == stateCold:
		d.Warming++
	case a.VersionDigest == digest:
		d.Serving++
	case a.State == stateLoading:
		d.Loading++
	case verified:
		d.Held++
	case a.TransferDigest == digest:
		d.Fetching++
		if d.Fetching == 1 || a.Peers < d.Peers {
			d.Peers = a.Peers
		}
	}
}
