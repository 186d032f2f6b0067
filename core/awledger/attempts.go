package awledger

import (
	"slices"

	"arbutuswind/core/awoutcome"
)

// AttemptState is what an agent knows about an attempt.
type AttemptState int

// The states of an attempt.
const (
	NeverSeen AttemptState = iota
	Running
	Done      // it ran, or may have run
	NotRun    // refused for good
	Forgotten // at or below a watermark and not known
)

// AttemptTableConfig bounds an [AttemptTable]. Zero values mean the defaults.
type AttemptTableConfig struct {
	MaxSources     int // entry incarnations
	MaxRecords     int // attempts over all sources
	MaxResultBytes int // results kept
}

// Defaults of [AttemptTableConfig]. A record takes about 100 bytes.
const (
	defaultMaxSources     = 4096
	defaultMaxRecords     = 1 << 17
	defaultMaxResultBytes = 8 << 20
)

// AttemptTable is the agent's table. It forgets an attempt only by raising a
// watermark, so that a forgotten attempt is never taken for a new one. It is
// not safe for concurrent use.
type AttemptTable struct {
	cfg     AttemptTableConfig
	sources map[source]*sourceAttempts
	floor   uint64 // unknown sources up to this incarnation were dropped
	records int
	kept    []AttemptID // with results, oldest first
	bytes   int
}

type source struct {
	entry       string
	incarnation uint64
}

// sourceAttempts holds the sourceAttempts of one entry incarnation above low.
type sourceAttempts struct {
	low   uint64
	known map[uint64]attempt
}

type attempt struct {
	state  AttemptState
	result *Result
}

// NewAttemptTable returns an empty table with the default bounds.
func NewAttemptTable() *AttemptTable { return NewBoundedAttemptTable(AttemptTableConfig{}) }

// NewBoundedAttemptTable returns an empty table.
func NewBoundedAttemptTable(cfg AttemptTableConfig) *AttemptTable {
	if cfg.MaxSources == 0 {
		cfg.MaxSources = defaultMaxSources
	}
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	if cfg.MaxResultBytes == 0 {
		cfg.MaxResultBytes = defaultMaxResultBytes
	}
	return &AttemptTable{cfg: cfg, sources: map[source]*sourceAttempts{}}
}

// AdvanceWatermark drops the attempts of an entry incarnation up to low, which the
// entry has settled.
func (a *AttemptTable) AdvanceWatermark(entry string, incarnation, low uint64) {
	if s := a.source(AttemptID{Entry: entry, Incarnation: incarnation}); s != nil {
		a.raise(s, low)
	}
}

func (a *AttemptTable) raise(s *sourceAttempts, low uint64) {
	if low <= s.low {
		return
	}
	s.low = low
	for seq, at := range s.known {
		// A running attempt stays known whatever the entry says.
		if seq <= low && at.state != Running {
			a.drop(s, seq)
		}
	}
}

func (a *AttemptTable) drop(s *sourceAttempts, seq uint64) {
	if r := s.known[seq].result; r != nil {
		a.bytes -= len(r.Body)
	}
	delete(s.known, seq)
	a.records--
}

// source returns the attempts of an entry incarnation, nil for one that was
// dropped.
func (a *AttemptTable) source(id AttemptID) *sourceAttempts {
	key := source{id.Entry, id.Incarnation}
	if s, ok := a.sources[key]; ok || id.Incarnation <= a.floor {
		return s
	}
	if len(a.sources) >= a.cfg.MaxSources {
		a.dropOldestSource()
		if id.Incarnation <= a.floor {
			return nil
		}
	}
	s := &sourceAttempts{known: map[uint64]attempt{}}
	a.sources[key] = s
	return s
}

// dropOldestSource drops the source that was started first and has nothing
// running. Incarnations are start times, so the floor tells the dropped
// sources from later ones.
func (a *AttemptTable) dropOldestSource() {
	var oldest source
	for key, s := range a.sources {
		if (oldest.incarnation == 0 || key.incarnation < oldest.incarnation) && !s.running() {
			oldest = key
		}
	}
	s, ok := a.sources[oldest]
	if !ok {
		return
	}
	for seq := range s.known {
		a.drop(s, seq)
	}
	delete(a.sources, oldest)
	a.floor = max(a.floor, oldest.incarnation)
}

func (s *sourceAttempts) running() bool {
	for _, at := range s.known {
		if at.state == Running {
			return true
		}
	}
	return false
}

// State returns what is known about an attempt.
func (a *AttemptTable) State(id AttemptID) AttemptState {
	s, ok := a.sources[source{id.Entry, id.Incarnation}]
	if !ok {
		if id.Incarnation <= a.floor {
			return Forgotten
		}
		return NeverSeen
	}
	if at, ok := s.known[id.Sequence]; ok {
		return at.state
	}
	if id.Sequence <= s.low {
		return Forgotten
	}
	return NeverSeen
}

// Result returns the kept result of a finished attempt, nil for none.
func (a *AttemptTable) Result(id AttemptID) *Result {
	if s, ok := a.sources[source{id.Entry, id.Incarnation}]; ok {
		return s.known[id.Sequence].result
	}
	return nil
}

// Begin marks an attempt as running. It refuses an attempt that was seen,
// refused or forgotten; only a remembered refusal proves that it did not run.
func (a *AttemptTable) Begin(id AttemptID) *awoutcome.Error {
	switch a.State(id) {
	case NeverSeen:
		if !a.set(id, Running) {
			return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.AttemptRefused, Detail: "attempt is of a forgotten entry"}
		}
		return nil
	case NotRun:
		return awoutcome.Refuse(awoutcome.AttemptRefused, "attempt was refused before")
	case Forgotten:
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.AttemptRefused, Detail: "attempt is below the watermark"}
	default:
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID, Detail: "attempt was seen before"}
	}
}

// FinishWithoutResult marks an attempt as run without keeping a result.
func (a *AttemptTable) FinishWithoutResult(id AttemptID) { a.Finish(id, nil) }

// Finish marks a running attempt as run and keeps its result within the byte
// bound; the oldest results give way.
func (a *AttemptTable) Finish(id AttemptID, r *Result) {
	s, ok := a.sources[source{id.Entry, id.Incarnation}]
	if !ok || s.known[id.Sequence].state != Running {
		return
	}
	if id.Sequence <= s.low { // settled while it ran
		a.drop(s, id.Sequence)
		return
	}
	if r != nil && len(r.Body) > a.cfg.MaxResultBytes {
		r = nil
	}
	s.known[id.Sequence] = attempt{state: Done, result: r}
	if r == nil {
		return
	}
	a.bytes += len(r.Body)
	a.kept = append(a.kept, id)
	for len(a.kept) > 0 && (a.bytes > a.cfg.MaxResultBytes || len(a.kept) > a.cfg.MaxRecords) {
		a.dropResult(a.kept[0])
		a.kept = a.kept[1:]
	}
}

// MarkNotRun refuses a running attempt for good because it is proved that it
// was not handed to the backend server.
func (a *AttemptTable) MarkNotRun(id AttemptID) {
	if s, ok := a.sources[source{id.Entry, id.Incarnation}]; ok && s.known[id.Sequence].state == Running {
		s.known[id.Sequence] = attempt{state: NotRun}
	}
}

func (a *AttemptTable) dropResult(id AttemptID) {
	s, ok := a.sources[source{id.Entry, id.Incarnation}]
	if !ok {
		return
	}
	if at := s.known[id.Sequence]; at.result != nil {
		a.bytes -= len(at.result.Body)
		at.result = nil
		s.known[id.Sequence] = at
	}
}

// Refuse refuses an attempt for good unless it was seen, and returns its
// state. Only [NotRun] proves that it did not run and never will.
func (a *AttemptTable) Refuse(id AttemptID) AttemptState {
	if a.State(id) == NeverSeen && !a.set(id, NotRun) {
		return Forgotten
	}
	return a.State(id)
}

// set stores a new record; it reports false when the source is forgotten.
func (a *AttemptTable) set(id AttemptID, state AttemptState) bool {
	s := a.source(id)
	if s == nil {
		return false
	}
	if a.records >= a.cfg.MaxRecords {
		a.shrink()
		if id.Sequence <= s.low {
			return false
		}
	}
	s.known[id.Sequence] = attempt{state: state}
	a.records++
	return true
}

// shrink forgets the older half of the largest source by raising its
// watermark, for an entry that does not advance its own.
func (a *AttemptTable) shrink() {
	var largest *sourceAttempts
	for _, s := range a.sources {
		if largest == nil || len(s.known) > len(largest.known) {
			largest = s
		}
	}
	var ended []uint64
	for seq, at := range largest.known {
		if at.state != Running {
			ended = append(ended, seq)
		}
	}
	if len(ended) > 0 {
		slices.Sort(ended)
		a.raise(largest, ended[len(ended)/2])
	}
}

// Size returns the number of records and the bytes of results held.
func (a *AttemptTable) Size() (records, resultBytes int) { return a.records, a.bytes }

// Watermark tells up to which sequence number all attempts of an entry are
// settled. It is not safe for concurrent use.
type Watermark struct {
	last    uint64
	low     uint64
	settled map[uint64]bool // above low
}

// NewWatermark returns a watermark before the first attempt.
func NewWatermark() *Watermark { return &Watermark{settled: map[uint64]bool{}} }

// Next returns the sequence number of a new attempt.
func (w *Watermark) Next() uint64 {
	w.last++
	return w.last
}

// Settle notes that nobody will ask about the attempt again.
func (w *Watermark) Settle(seq uint64) {
	if seq <= w.low || seq > w.last {
		return
	}
	w.settled[seq] = true
	for w.settled[w.low+1] {
		w.low++
		delete(w.settled, w.low)
	}
}

// Low returns the watermark.
func (w *Watermark) Low() uint64 { return w.low }
