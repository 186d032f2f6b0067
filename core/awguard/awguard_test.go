package awguard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func indices(victims []Victim) []int {
	list := []int{}
	for _, v := range victims {
		list = append(list, v.Index)
	}
	return list
}

// Guards against closing anything while the limits hold.
func TestNothingIsClosedWithinTheLimits(t *testing.T) {
	conns := []Conn{{Phase: Receiving, Bytes: 60, Quiet: time.Hour, Files: 1}, {Phase: Waiting, Bytes: 40, Files: 1}}
	require.Empty(t, Limits{Bytes: 100, Files: 2}.Choose(conns))
}

// Guards against closing clients that move rather than those that hold much and stand
// still, and against closing requests that were passed on.
func TestOrderOfClosing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limits Limits
		conns  []Conn
		want   []int
	}{
		{"a stopped body before a larger one that moves", Limits{Bytes: 5000, Files: 10}, []Conn{
			{Phase: Receiving, Bytes: 4000, Quiet: 10 * time.Millisecond, Files: 1}, {Phase: Receiving, Bytes: 2000, Quiet: time.Second, Files: 1},
		}, []int{1}},
		{"the larger of two stopped bodies", Limits{Bytes: 5000, Files: 10}, []Conn{
			{Phase: Receiving, Bytes: 2500, Quiet: time.Second, Files: 1}, {Phase: Receiving, Bytes: 3000, Quiet: time.Second, Files: 1},
		}, []int{1}},
		{"no request that was passed on", Limits{Bytes: 100, Files: 10}, []Conn{
			{Phase: Serving, Bytes: 900, Quiet: time.Hour, Files: 2},
			{Phase: Responding, Bytes: 900, Quiet: time.Hour, Files: 2},
			{Phase: Responding, Bytes: 900, Blocked: minBlocked - 1, Files: 2},
			{Phase: Receiving, Bytes: 20, Files: 1},
		}, []int{3}},
		{"no small request beside large ones that were passed on", Limits{Bytes: 1600, Files: 10}, []Conn{
			{Phase: Serving, Bytes: 2000, Files: 2},
			{Phase: Receiving, Bytes: 50, Files: 1},
			{Phase: Waiting, Bytes: 50, Files: 1},
			{Phase: Receiving, Bytes: 200, Files: 1},
		}, []int{3}},
		{"a client that does not read", Limits{Bytes: 1000, Files: 10}, []Conn{
			{Phase: Responding, Bytes: 900, Blocked: minBlocked, Files: 2}, {Phase: Serving, Bytes: 200, Files: 2},
		}, []int{0}},
		{"a stopped request before an idle connection that was used", Limits{Bytes: 1000, Files: 2}, []Conn{
			{Phase: Waiting, Quiet: 12 * time.Second, Answered: true, Files: 1},
			{Phase: Receiving, Quiet: 3 * time.Second, Answered: true, Files: 1},
			{Phase: Waiting, Quiet: 0, Files: 1},
		}, []int{1}},
		{"the connection that has idled longest, and not the newest", Limits{Bytes: 1000, Files: 2}, []Conn{
			{Phase: Waiting, Files: 1}, {Phase: Waiting, Quiet: 5 * time.Second, Answered: true, Files: 1}, {Phase: Waiting, Quiet: 6 * time.Second, Answered: true, Files: 1},
		}, []int{2}},
		{"an idle connection whose next request has arrived last", Limits{Bytes: 1000, Files: 1}, []Conn{
			{Phase: Waiting, Quiet: 12 * time.Second, Answered: true, Arrived: true, Files: 1}, {Phase: Waiting, Quiet: time.Second, Answered: true, Files: 1},
		}, []int{1}},
		{"not the newest while the others carry requests", Limits{Bytes: 1000, Files: 8}, []Conn{
			{Phase: Serving, Files: 2}, {Phase: Serving, Files: 2}, {Phase: Serving, Files: 2}, {Phase: Serving, Files: 2}, {Phase: Waiting, Files: 1},
		}, []int{}},
		{"the newest above the reserve", Limits{Bytes: 1000, Files: 2}, []Conn{
			{Phase: Serving, Quiet: time.Hour, Files: 2}, {Phase: Waiting, Files: 1},
		}, []int{1}},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, indices(tc.limits.Choose(tc.conns))) })
	}
}

// Guards against exceeded limits while a connection could be closed, and against
// closing more than the reserve calls for.
func TestRandomConnections(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261206, 1))
	for range 2000 {
		l := Limits{Bytes: rng.Int64N(10000) + 100, Files: rng.IntN(60) + 1}
		conns := make([]Conn, rng.IntN(80))
		for i := range conns {
			conns[i] = Conn{
				Phase: Phase(rng.IntN(4)), Bytes: rng.Int64N(500), Quiet: time.Duration(rng.Int64N(int64(10 * time.Second))),
				Blocked: time.Duration(rng.Int64N(int64(time.Second))), Answered: rng.IntN(2) == 0, Files: rng.IntN(2) + 1,
			}
		}
		gone := map[int]bool{}
		for _, v := range l.Choose(conns) {
			require.False(t, gone[v.Index], "chosen twice")
			require.True(t, conns[v.Index].MayBeClosed())
			gone[v.Index] = true
		}
		files, held, closable, pinned := 0, int64(0), 0, int64(0)
		for i, c := range conns {
			if !gone[i] {
				files, held = files+c.Files, held+c.Bytes
				if c.MayBeClosed() {
					closable++
				} else {
					pinned += c.Bytes
				}
			}
		}
		require.True(t, closable == 0 || files <= l.Files+l.Files/freshReserve && held <= max(l.Bytes, pinned+l.Bytes/bytesReserve))
		if len(gone) == 0 {
			continue
		}
		const largest = 500 // of a connection's bytes
		require.True(t, files >= l.Files-l.Files/filesReserve-2 || held >= max(l.Bytes-l.Bytes/bytesReserve, pinned+l.Bytes/bytesReserve/2)-largest, "too many closed")
	}
}
