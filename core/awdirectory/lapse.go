package awdirectory

import "time"

// Registration is an entry as it stands in the store.
type Registration struct {
	Entry
	// Position of the row changes with each write of it, and with the era of the store.
	Position Position
	// Renews is whether the entry writes its row again at each [RenewInterval]. Entries
	// of earlier versions do not.
	Renews bool
}

// An entry whose row is not renewed stops counting, so that the shares of entries that
// are lost for good do not stay unused. The entry itself gives up its share before the
// others take it.
const (
	// RenewInterval is the time between two writes of an entry's row.
	RenewInterval = 20 * time.Second
	// ownLapse is the time since its last acknowledged write after which an entry does
	// not use its share, and entryLapse the time without a write after which others do
	// not count it. The difference covers two reads of the list and a slow one.
	ownLapse   = 60 * time.Second
	entryLapse = 90 * time.Second
	// removeAfter is the time without a write after which the row is removed.
	removeAfter = 2 * time.Minute
	// maxReadGap is the longest time between two reads of the list in which an
	// unchanged row counts as one that nobody has written. While the store is away,
	// nobody can write.
	maxReadGap = 20 * time.Second
)

// EntryTracker decides which registered entries count. It is not safe for concurrent use.
type EntryTracker struct {
	// Self is the name of the entry that reads the list, which always counts there.
	Self      string
	seen      map[string]seenRow
	firstRead time.Time // since when the list has been read without a gap
	lastRead  time.Time
	own       seenRow // the row of Self, and since when it has been seen, also over gaps
}

// seenRow is the position of a row, and since when it has been seen without a gap.
type seenRow struct {
	position Position
	since    time.Time
}

// Observe records a read of the list. It returns the entries that count, and the
// registrations that may be removed.
func (t *EntryTracker) Observe(list []Registration, now time.Time) (counting []Entry, removable []Registration) {
	t.observeOwn(list, now)
	// While this entry cannot write its own row, others may not be able to either.
	restart := t.lastRead.IsZero() || now.Sub(t.lastRead) > maxReadGap || t.WrittenAgo(now) >= ownLapse
	if t.lastRead = now; restart {
		t.firstRead = now
	}
	seen := make(map[string]seenRow, len(list))
	for _, r := range list {
		s, known := t.seen[r.Name]
		if !known || restart || s.position != r.Position {
			s = seenRow{position: r.Position, since: now}
		}
		seen[r.Name] = s
		unchanged := now.Sub(s.since)
		if !r.Renews || r.Name == t.Self || unchanged < entryLapse {
			counting = append(counting, r.Entry)
		} else if unchanged >= removeAfter {
			removable = append(removable, r)
		}
	}
	t.seen = seen
	return counting, removable
}

// observeOwn records when the row of Self has changed.
func (t *EntryTracker) observeOwn(list []Registration, now time.Time) {
	for _, r := range list {
		if r.Name == t.Self && (t.own.since.IsZero() || r.Position != t.own.position) {
			t.own = seenRow{position: r.Position, since: now}
		}
	}
}

// WrittenAgo returns the time since the row of Self was last seen to have changed, or
// entryLapse if it never was.
func (t *EntryTracker) WrittenAgo(now time.Time) time.Duration {
	if t.own.since.IsZero() {
		return entryLapse
	}
	return now.Sub(t.own.since)
}

// ReadFor returns the time for which the list has been read without a gap. No entry stops
// counting before it has been longer than [OwnShare] waits.
func (t *EntryTracker) ReadFor(now time.Time) time.Duration {
	if t.lastRead.IsZero() || now.Sub(t.lastRead) > maxReadGap {
		return 0
	}
	return now.Sub(t.firstRead)
}

const (
	// askAfter is the time since its last acknowledged write after which an entry asks
	// the others what they know from the list.
	askAfter = 30 * time.Second
	// askUnread is the time since its last read of the list after which it does so too.
	askUnread = 10 * time.Second
	// returnDelay is the time from the first write of an entry that comes back until it
	// uses its share again.
	returnDelay = 15 * time.Second
	// answerTTL is how long an answer counts.
	answerTTL = 10 * time.Second
)

// OwnShare tells whether an entry may use its share of the limits that all entries
// divide. Its times are those of a clock that also counts suspensions. It is not safe
// for concurrent use.
type OwnShare struct {
	renewed    time.Time // when the last acknowledged write was begun
	read       time.Time // when the list was last read
	usableFrom time.Time // after a lapse: when the others count this entry again
	lapsed     bool
	harmless   time.Time // when an entry last said that it cannot have taken the share
	count      int       // largest number of entries that another one counts, since the last read
}

// Answer is what an entry tells another one that has not renewed its row for long.
type Answer struct {
	Counted bool          // the other entry counts there
	Count   int           // entries that count there
	ReadFor time.Duration // see [EntryTracker.ReadFor]
	// WrittenAgo is the time since its own row has changed; see [EntryTracker.WrittenAgo].
	WrittenAgo time.Duration
}

// NewOwnShare returns the share of an entry that starts now.
func NewOwnShare(now time.Time) *OwnShare { return &OwnShare{renewed: now, read: now} }

// Renewed records an acknowledged write of this entry's row.
func (s *OwnShare) Renewed(begun, now time.Time) {
	s.check(1, now)
	if s.renewed = begun; s.lapsed {
		s.lapsed, s.usableFrom = false, now.Add(returnDelay)
	}
}

// Read records a read of the list.
func (s *OwnShare) Read(now time.Time) { s.read, s.count = now, 0 }

// Asks reports whether the other entries are to be asked for an [Answer].
func (s *OwnShare) Asks(now time.Time) bool {
	return now.Sub(s.renewed) >= askAfter || now.Sub(s.read) >= askUnread
}

// Heard records the answer of another entry. One that has read the list for long, and has
// written its own row well after this one, takes this one's share. While the store is
// away from all, or takes no writes, nobody does.
func (s *OwnShare) Heard(a Answer, now time.Time) {
	s.count = max(s.count, a.Count)
	age := now.Sub(s.renewed)
	switch {
	case a.Counted && (a.ReadFor < ownLapse || a.WrittenAgo > age-(entryLapse-ownLapse)):
		s.harmless = now
	case age >= ownLapse:
		s.lapsed = true
	}
}

// Count returns the number of entries that divide the limits, of which this one has read
// a number from the list. Others may know of more while it cannot read the list.
func (s *OwnShare) Count(read int) int { return max(read, s.count) }

// Usable reports whether the share may be used while the given number of other entries
// count. An entry whose share has lapsed gets it back when the others have read its next
// write, or have asked; that the store was there for them shows in a read of its own.
func (s *OwnShare) Usable(others int, now time.Time) bool {
	s.check(others, now)
	return !s.lapsed && !s.read.Before(s.usableFrom)
}

// check lets the share lapse if it has not been renewed and no other entry says that it
// cannot have taken it.
func (s *OwnShare) check(others int, now time.Time) {
	if now.Sub(s.renewed) >= ownLapse && others > 0 && (s.harmless.IsZero() || now.Sub(s.harmless) >= answerTTL) {
		s.lapsed = true
	}
}

// Removes reports whether an entry removes the registrations that may be removed, after a
// read in which the given number of entries count. About two of them do, so that one does
// soon although some may be lost. draw is uniform in [0, 1).
func Removes(counting int, draw float64) bool { return draw*float64(counting) < 2 }
