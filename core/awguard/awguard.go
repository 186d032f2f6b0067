// Package awguard decides which connections of clients a process closes when they
// hold too much of its memory or too many of its descriptors.
//
// The connections that hold most and move least are closed first. One that carries a
// request which was passed on is not closed until its client stops reading the
// response. The decision uses no clock and no network.
package awguard

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	Waiting    Phase = iota // nothing of a request has arrived since the last response
	Receiving               // a part of a request has arrived, or the rest of a refused one arrives
	Serving                 // a request was passed on and its response has not begun
	Responding              // a response is being written
)

// Conn is what is known of one connection.
type Conn struct {
	Phase    Phase
	Bytes    int64         // that the process and the kernel hold for it
	Quiet    time.Duration // since it last moved a notable number of bytes
	Blocked  time.Duration // how long a write has waited for the client; 0 if none waits
	Answered bool          // it has carried a request to its response before
	Arrived  bool          // it idles between requests, and a part of the next one has arrived and was not read
	Files    int           // descriptors that it takes, with that of a connection over which its request was passed on
}

// Limits bounds what all connections of a process hold.
type Limits struct {
	Bytes int64
	Files int
	// ByteStep is the difference in bytes up to which connections count as alike, 0 for
	// none. Without it, a small request that has just arrived outweighs many idle
	// connections, which take nearly as much.
	ByteStep int64
}

// Reason is why a connection is closed.
type Reason int

// Reasons for which connections are closed.
const (
	Memory Reason = iota
	Descriptors
	reasons
)

// Reasons is the number of reasons.
const Reasons = int(reasons)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if r == Memory {
		return "memory"
	}
	return "descriptors"
}

// Victim is a connection to be closed.
type Victim struct {
	Index  int // in the list passed to [Limits.Choose]
	Reason Reason
}

const (
	// minBlocked is how long a client must have taken nothing of a response before its
	// connection may be closed. It is longer than a lost packet delays a client.
	minBlocked = 500 * time.Millisecond
	// quietFloor is added to the time for which a connection has moved nothing, so that
	// among those that have just moved the largest is closed first.
	quietFloor = 50 * time.Millisecond
	// suspicion is the weight of a connection that has not been answered yet, or that
	// stopped within a request, against one that idles between requests.
	suspicion = 8

	// After a limit is exceeded, connections are closed until a fraction of it is free,
	// so that the decision is not made again for each byte and each connection.
	bytesReserve = 8
	filesReserve = 16
	// freshReserve is the part of the descriptors by which fresh connections may exceed
	// the limit while the others carry requests. These get "Connection: close" with
	// their responses meanwhile, so that callers who reconnect are served in turn.
	freshReserve = 8
	freshFor     = time.Second
)

// MaxFiles returns the descriptors that may be taken while fresh connections wait for
// others to end.
func (l Limits) MaxFiles() int { return l.Files + l.Files/freshReserve }

// Choose returns the connections to be closed so that the others are within the
// limits, those that hold most and move least first. Connections that must not be
// closed may keep a limit exceeded. The others then keep an eighth of the bytes, so
// that small requests are still served.
func (l Limits) Choose(conns []Conn) []Victim {
	var victims []Victim
	chosen := make([]bool, len(conns))
	files, held, pinned := 0, int64(0), int64(0)
	for _, c := range conns {
		held += c.Bytes
		files += c.Files
		if !c.MayBeClosed() {
			pinned += c.Bytes
		}
	}
	reserve := l.Bytes / bytesReserve
	take := func(i int, r Reason) {
		victims, chosen[i] = append(victims, Victim{i, r}), true
		files -= conns[i].Files
		held -= conns[i].Bytes
	}
	if files > l.Files {
		freshLimit := l.MaxFiles()
		if files > freshLimit {
			freshLimit -= l.Files / filesReserve
		}
		for _, i := range ranked(conns, chosen, Conn.descriptorScore) {
			if files <= l.Files-l.Files/filesReserve {
				break
			}
			if conns[i].isFresh() && files <= freshLimit {
				continue
			}
			take(i, Descriptors)
		}
	}
	if held > max(l.Bytes, pinned+reserve) {
		for _, i := range ranked(conns, chosen, l.byteScore) {
			if held <= max(l.Bytes-reserve, pinned+reserve/2) {
				break
			}
			take(i, Memory)
		}
	}
	return victims
}

// isFresh reports whether the connection is so new that its request may be on the way.
func (c Conn) isFresh() bool { return !c.Answered && c.Quiet < freshFor }

// ranked returns the indices of the connections that may be closed, by falling score.
// Idle ones on which the next request has arrived are last.
func ranked(conns []Conn, chosen []bool, score func(Conn) float64) []int {
	scores, order := make([]float64, len(conns)), []int{}
	for i, c := range conns {
		if !chosen[i] && c.MayBeClosed() {
			scores[i] = score(c)
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if conns[a].Arrived != conns[b].Arrived {
			if conns[a].Arrived {
				return 1
			}
			return -1
		}
		return cmp.Compare(scores[b], scores[a])
	})
	return order
}

// MayBeClosed reports whether closing the connection interrupts no request that was
// passed on and whose response the client takes.
func (c Conn) MayBeClosed() bool {
	switch c.Phase {
	case Waiting, Receiving:
		return true
	case Responding:
		return c.Blocked >= minBlocked
	default:
		return false
	}
}

func (c Conn) idle() time.Duration {
	if c.Phase == Responding {
		return c.Blocked
	}
	return c.Quiet
}

func (c Conn) descriptorScore() float64 {
	score := c.idle().Seconds()
	if c.Phase != Waiting || !c.Answered {
		score *= suspicion
	}
	return score
}

func (l Limits) byteScore(c Conn) float64 {
	bytes := c.Bytes
	if l.ByteStep > 0 {
		bytes = c.Bytes/l.ByteStep + 1
	}
	return float64(bytes) * (c.idle() + quietFloor).Seconds()
}
