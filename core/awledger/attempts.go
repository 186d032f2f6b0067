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
	NotRun    // it has not run and never will
	Forgotten // its record may have been dropped, so the outcome is unknown
)

// AttemptTableConfig limits the size of an [AttemptTable]. A zero value selects
// the default.
type AttemptTableConfig struct {
	MaxSources     int // entry incarnations with records
	MaxRecords     int // attempts of all sources together
	MaxResultBytes int // total size of the result bodies kept
}

// Defaults of [AttemptTableConfig]. A record takes about 100 bytes.
const (
	defaultMaxSources     = 4096
	defaultMaxRecords     = 1 << 17
	defaultMaxResultBytes = 8 << 20
)

// AttemptTable records the attempts that an agent has seen. Whenever it drops
// records, it also advances a watermark, so that a forgotten attempt is never
// mistaken for a new one. It is not safe for concurrent use.
type AttemptTable struct {
	cfg                   AttemptTableConfig
	sources               map[sourceKey]*sourceAttempts
	maxDroppedIncarnation uint64 // sources up to this incarnation that are not in the table were dropped
	recordCount           int
	withResult            []AttemptID // attempts with a kept result, oldest first
	resultBytes           int
}

// sourceKey identifies a source of attempts: one incarnation of one entry.
type sourceKey struct {
	entry       string
	incarnation uint64
}

// sourceAttempts holds the attempts of one entry incarnation. At or below the
// watermark only those that were running when it advanced are kept.
type sourceAttempts struct {
	watermark uint64
	records   map[uint64]attemptRecord
}

type attemptRecord struct {
	state  AttemptState
	result *Result
}

// NewAttemptTable returns an empty table with the default limits.
func NewAttemptTable() *AttemptTable { return NewBoundedAttemptTable(AttemptTableConfig{}) }

// NewBoundedAttemptTable returns an empty table with the limits of cfg.
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
	return &AttemptTable{cfg: cfg, sources: map[sourceKey]*sourceAttempts{}}
}

// AdvanceWatermark drops the attempts of an entry incarnation with sequence
// numbers up to watermark, which the entry will not ask about again.
func (t *AttemptTable) AdvanceWatermark(entry string, incarnation, watermark uint64) {
	if s := t.sourceFor(AttemptID{Entry: entry, Incarnation: incarnation}); s != nil {
		t.advance(s, watermark)
	}
}

func (t *AttemptTable) advance(s *sourceAttempts, watermark uint64) {
	if watermark <= s.watermark {
		return
	}
	s.watermark = watermark
	for seq, rec := range s.records {
		// A running attempt is kept even if the entry has settled it.
		if seq <= watermark && rec.state != Running {
			t.dropRecord(s, seq)
		}
	}
}

func (t *AttemptTable) dropRecord(s *sourceAttempts, seq uint64) {
	if r := s.records[seq].result; r != nil {
		t.resultBytes -= len(r.Body)
	}
	delete(s.records, seq)
	t.recordCount--
}

// sourceFor returns the attempts of the entry incarnation of id and adds an empty
// set for a new one. It returns nil for an incarnation that was dropped.
func (t *AttemptTable) sourceFor(id AttemptID) *sourceAttempts {
	key := sourceKey{id.Entry, id.Incarnation}
	if s, ok := t.sources[key]; ok || id.Incarnation <= t.maxDroppedIncarnation {
		return s
	}
	if len(t.sources) >= t.cfg.MaxSources {
		t.dropOldestSource()
		if id.Incarnation <= t.maxDroppedIncarnation {
			return nil
		}
	}
	s := &sourceAttempts{records: map[uint64]attemptRecord{}}
	t.sources[key] = s
	return s
}

// dropOldestSource drops the source with the lowest incarnation that has no
// running attempt. Incarnations are start times, so maxDroppedIncarnation
// separates dropped sources from those that started later.
func (t *AttemptTable) dropOldestSource() {
	var oldest sourceKey
	for key, s := range t.sources {
		if (oldest.incarnation == 0 || key.incarnation < oldest.incarnation) && !s.hasRunning() {
			oldest = key
		}
	}
	s, ok := t.sources[oldest]
	if !ok {
		return
	}
	for seq := range s.records {
		t.dropRecord(s, seq)
	}
	delete(t.sources, oldest)
	t.maxDroppedIncarnation = max(t.maxDroppedIncarnation, oldest.incarnation)
}

func (s *sourceAttempts) hasRunning() bool {
	for _, rec := range s.records {
		if rec.state == Running {
			return true
		}
	}
	return false
}

// State returns the state of an attempt.
func (t *AttemptTable) State(id AttemptID) AttemptState {
	s, ok := t.sources[sourceKey{id.Entry, id.Incarnation}]
	if !ok {
		if id.Incarnation <= t.maxDroppedIncarnation {
			return Forgotten
		}
		return NeverSeen
	}
	if rec, ok := s.records[id.Sequence]; ok {
		return rec.state
	}
	if id.Sequence <= s.watermark {
		return Forgotten
	}
	return NeverSeen
}

// Result returns the result of a finished attempt, or nil if none is kept.
func (t *AttemptTable) Result(id AttemptID) *Result {
	if s, ok := t.sources[sourceKey{id.Entry, id.Incarnation}]; ok {
		return s.records[id.Sequence].result
	}
	return nil
}

// Begin marks an attempt as running. It returns an error if the attempt was
// seen, refused or forgotten before. The outcome in the error is NotRun only if
// the table still holds the refusal; otherwise the attempt may have run.
func (t *AttemptTable) Begin(id AttemptID) *awoutcome.Error {
	switch t.State(id) {
	case NeverSeen:
		if !t.add(id, Running) {
			return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.AttemptRefused, Detail: "records that may have included the attempt were dropped"}
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

// FinishWithoutResult marks a running attempt as done without keeping a result.
func (t *AttemptTable) FinishWithoutResult(id AttemptID) { t.Finish(id, nil) }

// Finish marks a running attempt as done and keeps its result. When the results
// exceed the limits, the oldest are dropped; a result larger than MaxResultBytes
// is not kept.
func (t *AttemptTable) Finish(id AttemptID, r *Result) {
	s, ok := t.sources[sourceKey{id.Entry, id.Incarnation}]
	if !ok || s.records[id.Sequence].state != Running {
		return
	}
	if id.Sequence <= s.watermark { // settled while it ran
		t.dropRecord(s, id.Sequence)
		return
	}
	if r != nil && len(r.Body) > t.cfg.MaxResultBytes {
		r = nil
	}
	s.records[id.Sequence] = attemptRecord{state: Done, result: r}
	if r == nil {
		return
	}
	t.resultBytes += len(r.Body)
	t.withResult = append(t.withResult, id)
	for len(t.withResult) > 0 && (t.resultBytes > t.cfg.MaxResultBytes || len(t.withResult) > t.cfg.MaxRecords) {
		t.dropResult(t.withResult[0])
		t.withResult = t.withResult[1:]
	}
}

// MarkNotRun changes a running attempt to [NotRun]. The caller must have proof
// that the attempt was not sent to the backend server.
func (t *AttemptTable) MarkNotRun(id AttemptID) {
	if s, ok := t.sources[sourceKey{id.Entry, id.Incarnation}]; ok && s.records[id.Sequence].state == Running {
		s.records[id.Sequence] = attemptRecord{state: NotRun}
	}
}

func (t *AttemptTable) dropResult(id AttemptID) {
	s, ok := t.sources[sourceKey{id.Entry, id.Incarnation}]
	if !ok {
		return
	}
	if rec := s.records[id.Sequence]; rec.result != nil {
		t.resultBytes -= len(rec.result.Body)
		rec.result = nil
		s.records[id.Sequence] = rec
	}
}

// Refuse marks an attempt that was never seen as [NotRun] and returns the state
// of the attempt. Only [NotRun] proves that the attempt has not run and never
// will.
func (t *AttemptTable) Refuse(id AttemptID) AttemptState {
	if t.State(id) == NeverSeen && !t.add(id, NotRun) {
		return Forgotten
	}
	return t.State(id)
}

// add stores a new record. It returns false if the attempt is forgotten: its
// source was dropped, or making room raised the watermark above it.
func (t *AttemptTable) add(id AttemptID, state AttemptState) bool {
	s := t.sourceFor(id)
	if s == nil {
		return false
	}
	if t.recordCount >= t.cfg.MaxRecords {
		t.evictOldest()
		if id.Sequence <= s.watermark {
			return false
		}
	}
	s.records[id.Sequence] = attemptRecord{state: state}
	t.recordCount++
	return true
}

// evictOldest advances the watermark of the source with the most records so that
// the older half of its ended attempts is dropped. It bounds the table when an
// entry does not advance its own watermark.
func (t *AttemptTable) evictOldest() {
	var largest *sourceAttempts
	for _, s := range t.sources {
		if largest == nil || len(s.records) > len(largest.records) {
			largest = s
		}
	}
	var ended []uint64
	for seq, rec := range largest.records {
		if rec.state != Running {
			ended = append(ended, seq)
		}
	}
	if len(ended) > 0 {
		slices.Sort(ended)
		t.advance(largest, ended[len(ended)/2])
	}
}

// Size returns the number of records and the total size of the result bodies.
func (t *AttemptTable) Size() (records, resultBytes int) { return t.recordCount, t.resultBytes }

// Watermark assigns the sequence numbers of an entry's attempts and tracks the
// highest number up to which all of them are settled. It is not safe for
// concurrent use.
type Watermark struct {
	last    uint64
	low     uint64
	settled map[uint64]bool // above low
}

// NewWatermark returns a Watermark without attempts.
func NewWatermark() *Watermark { return &Watermark{settled: map[uint64]bool{}} }

// Next returns the sequence number of a new attempt.
func (w *Watermark) Next() uint64 {
	w.last++
	return w.last
}

// Settle records that the attempt will not be asked about again.
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

// Low returns the watermark: all attempts up to this sequence number are settled.
func (w *Watermark) Low() uint64 { return w.low }
