package awcontrol

import "arbutuswind/core/awconfig"

// AgentStatus is what an entry knows about an agent.
type AgentStatus struct {
	Instance      string
	Domain        string
	State         string
	Model         string
	Version       string
	VersionDigest string
	ViewRevision  uint64
	InFlight      uint32
	Limit         uint32
	Fencing       string // "ignored" where the agent's settings say so
	ChunksHeld    uint32
	Chunks        uint32
	OriginBytes   uint64

	// The transfer of weights that runs or ran last.
	TransferDigest string
	RegionBytes    uint64 // from other regions
	PeerBytes      uint64 // from the own region
	Peers          uint32 // that chunks may come from now
	BadChunks      uint32
	EtaMs          uint32
	NoRoom         bool   `json:",omitempty"` // the version does not fit beside the one served
	TransferError  string `json:",omitempty"`
}

// Status is the answer of GET /status.
type Status struct {
	Revision    uint64
	Digest      string
	StoreReset  string `json:",omitempty"` // why changes are refused
	SourceFresh bool   // a configuration source answered within MaxIsolation
	SourceAgeMs int64  // since the newest news of the store; -1 never
	// FencingConflicts lists the instances placed for a model that the sheet
	// calls checked although their settings say that the engine ignores tokens.
	FencingConflicts []string `json:",omitempty"`
	State            *awconfig.State
	Agents           []AgentStatus
}

// Progress tells how far a revision is in force. An entry and each Watch
// stream of an entry to an agent count; an agent that several entries watch
// counts once for each.
type Progress struct {
	Revision       uint64
	Entries        int
	EntriesInForce int
	Watches        int
	WatchesInForce int
	Behind         []string // some of the processes that are behind or silent
	Everywhere     bool     // nothing is behind
}

// Refusal is the body of every error of the operators' API.
type Refusal struct {
	Error      string
	Faults     []string              `json:",omitempty"`
	Known      []string              `json:",omitempty"` // names that are allowed
	Winners    []awconfig.Change     `json:",omitempty"` // changes committed first
	Difference []awconfig.Difference `json:",omitempty"` // what the refused change would alter now
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Revision uint64
	ChangeID string `json:",omitempty"`
	NoOp     bool   // the change was in effect already; no revision was added
}

// ChangeRequest asks for a change of a domain or an instance.
type ChangeRequest struct {
	Kind   awconfig.Kind
	Target string
	Actor  string
	Reason string  `json:",omitempty"`
	Rate   float64 `json:",omitempty"` // TeamLimit: requests a second; 0 lifts the limit
	Base   uint64  // revision the operator looked at; 0 means the newest
}

// SheetReport is the answer to a sheet that is only checked.
type SheetReport struct {
	Valid        bool
	Faults       []string // line:column: message
	Revision     uint64   // that the sheet is compared with; the base of an apply
	RemovedShare float64  // of the wanted replicas, 0 to 1
	RemovalOK    bool     // RemovedShare is within MaxRemovedShare
	Differences  []awconfig.Difference
}

func (s Status) fencingConflicts() []string {
	var list []string
	for _, a := range s.Agents {
		m := s.State.Models[s.State.Placements[a.Instance].Model]
		if m.Fencing == awconfig.FencingChecked && a.Fencing == string(awconfig.FencingIgnored) {
			list = append(list, a.Instance)
		}
	}
	return list
}

// Rollouts returns the rollout of each model, sorted by name.
func (s Status) Rollouts() []RolloutStatus {
	list := []RolloutStatus{}
	if s.State == nil {
		return list
	}
	for _, name := range sortedKeys(s.State.Models) {
		if r, ok := SummarizeRollout(s.State, s.Agents, name); ok {
			list = append(list, r)
		}
	}
	return list
}
