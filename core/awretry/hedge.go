package awretry

import "time"

// A stream is also sent to another backend server when its own has sent nothing
// for hedgeGaps times the route's maximum gap between events, and at least
// minHedgeDelay. Callers give up after eight such gaps, or after two seconds.
const (
	hedgeGaps     = 5
	minHedgeDelay = 1200 * time.Millisecond
)

// LostInstanceDelay is how long the backend server of a resumable stream may send
// nothing if nothing else arrives from its instance either.
const LostInstanceDelay = 600 * time.Millisecond

// SilenceCheck is the longest time between two checks for silence.
const SilenceCheck = 250 * time.Millisecond

// HedgeWait is how long a stream whose backend servers are silent waits for room at
// another one.
const HedgeWait = time.Second

// HedgeRetry is the time until another backend server is sought again if none
// has room: about the time until a busy fleet frees a slot.
const HedgeRetry = 150 * time.Millisecond

// SilenceRecheck is the time after which silence is checked again before it counts.
// After a pause of this process, it lets events be read that have arrived meanwhile.
const SilenceRecheck = 50 * time.Millisecond

// HedgeDelay returns how long the backend servers of a resumable stream may send
// nothing before the stream is also sent to another one. maxGap is the route's
// maximum gap between events.
func HedgeDelay(maxGap time.Duration) time.Duration {
	return max(minHedgeDelay, hedgeGaps*maxGap)
}

// Sends describes the sends of one request for [Sends.AllowAnother].
type Sends struct {
	Repeatable   bool
	MaxAttempts  int // maximum number of backend servers that may run the request; at least 1 is allowed
	Total        int // sends so far, including those that did not run
	PossibleRuns int // ended sends that may have run
	Running      int // sends that have not ended
	Crashes      int // sends under which an engine crashed before it had answered for long
}

// maxSends limits the sends of one request, including those that did not run.
// It is reached only if many backend servers reject the request.
const maxSends = 4

// AllowAnother reports whether the request may be sent once more. It does not
// consider the retry budget.
func (s Sends) AllowAnother() bool {
	runs := s.PossibleRuns + s.Running
	if runs > 0 && (!s.Repeatable || runs >= max(1, s.MaxAttempts)) {
		return false
	}
	return s.Total < maxSends && s.Crashes < MaxCrashes
}
