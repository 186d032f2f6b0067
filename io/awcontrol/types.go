package awcontrol

import (
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awsheet"
)

// AgentStatus is the latest status of an agent that an entry has received.
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
	Fencing       string // "ignored" if the agent's settings say so, otherwise empty
	ChunksHeld    uint32
	Chunks        uint32
	OriginBytes   uint64

	// The running or the most recent transfer of weights.
	TransferDigest string
	RegionBytes    uint64 // fetched from other regions
	PeerBytes      uint64 // fetched from peers in the same region
	Peers          uint32 // number of peers that chunks can be fetched from now
	BadChunks      uint32
	EtaMs          uint32
	NoRoom         bool   `json:",omitempty"` // the version does not fit in memory next to the serving one
	TransferError  string `json:",omitempty"`
}

// Status is the response body of GET /status.
type Status struct {
	Revision    uint64
	Digest      string
	StoreReset  string `json:",omitempty"` // why changes are refused; empty unless the store was reset
	SourceFresh bool   // a configuration source responded within MaxIsolation
	SourceAgeMs int64  // time since the last known successful read of the store; -1 if never read
	// FencingConflicts lists the instances placed for a model whose fencing is
	// "checked" in the sheet, but whose settings say that the engine ignores
	// fencing tokens.
	FencingConflicts []string `json:",omitempty"`
	State            *awconfig.State
	Agents           []AgentStatus
}

// Progress reports how many processes have applied a revision. It counts each
// entry and each Watch stream from an entry to an agent, so an agent watched by
// several entries counts once per entry.
type Progress struct {
	Revision       uint64
	Entries        int
	EntriesInForce int
	Watches        int
	WatchesInForce int
	Behind         []string // some of the processes that are behind or unreachable
	Everywhere     bool     // every process has applied the revision
}

// Refusal is the response body of every error of the operators' API.
type Refusal struct {
	Error      string
	Faults     []string              `json:",omitempty"`
	Known      []string              `json:",omitempty"` // valid names
	Winners    []awconfig.Change     `json:",omitempty"` // conflicting changes that were committed first
	Difference []awconfig.Difference `json:",omitempty"` // what the refused change would alter in the current state
}

// Accepted is the response body for an accepted change.
type Accepted struct {
	Revision uint64
	ChangeID string `json:",omitempty"`
	NoOp     bool   // the change was already in effect; no revision was added
}

// ChangeRequest is the body of a request to change a domain, an instance or a
// team limit, or to accept a store reset.
type ChangeRequest struct {
	Kind   awconfig.Kind
	Target string
	Actor  string
	Reason string  `json:",omitempty"`
	Rate   float64 `json:",omitempty"` // for TeamLimit: requests per second; 0 removes the limit
	Base   uint64  // revision that the operator based the change on; 0 for the newest
}

// SheetReport is the result of checking a sheet without applying it.
type SheetReport struct {
	Valid        bool
	Faults       []string // line:column: message
	Revision     uint64   // revision that the sheet is compared with; use it as the base of an apply
	RemovedShare float64  // share of the desired replicas that the sheet removes, 0 to 1
	RemovalOK    bool     // RemovedShare is within MaxRemovedShare
	Differences  []awconfig.Difference
	Findings     []Finding `json:",omitempty"` // the faults and the warnings, field by field
	NotChecked   []string  `json:",omitempty"` // what was left out because the check ran without an entry
}

// Severity states whether a finding prevents a sheet from being accepted.
type Severity string

// The values of Severity.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is an error or a warning about a sheet. Line and Column are 0 if it
// concerns the whole sheet.
type Finding struct {
	Severity Severity
	awsheet.Fault
}

// NewFindings returns the faults and warnings of a sheet, the faults first.
func NewFindings(faults, warnings []awsheet.Fault) []Finding {
	list := make([]Finding, 0, len(faults)+len(warnings))
	for _, f := range faults {
		list = append(list, Finding{Severity: SeverityError, Fault: f})
	}
	for _, f := range warnings {
		list = append(list, Finding{Severity: SeverityWarning, Fault: f})
	}
	return list
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

// Rollouts returns the rollout status of each model, sorted by model name.
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
