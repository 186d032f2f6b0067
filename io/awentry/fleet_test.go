package awentry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awmember"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awstore"
)

// watchedLink is the link to an agent whose heartbeats the test sends and answers.
type watchedLink struct {
	*agentLink
	t      *testing.T
	clock  *awclock.Fake
	fleet  *fleet
	stream context.Context // ends when the entry ends the Watch stream
}

func newWatchedLink(t *testing.T) *watchedLink {
	clock := awclock.NewFake(time.Unix(1_700_000_000, 0))
	b := newTestbed(t)
	f := b.entry("entry", "north", b.url, clock).fleet
	l := &watchedLink{agentLink: &agentLink{info: awstore.Instance{ID: "A"}}, t: t, clock: clock, fleet: f}
	f.table.ApplyAnnouncement(awmember.AgentInfo{Instance: "A", Incarnation: 7}, clock.Now())
	f.agents["A"] = l.agentLink
	l.resetLost()
	l.openStream()
	l.answerHeartbeat()
	require.NotNil(t, l.report)
	return l
}

func (l *watchedLink) openStream() {
	stream, end := context.WithCancelCause(l.t.Context())
	l.stream, l.endStream = stream, end
	l.liveness = awmember.NewLiveness(time.Second, l.clock.Now())
}

func (l *watchedLink) answerHeartbeat() {
	l.t.Helper()
	up, _ := l.fleet.heartbeat(l.agentLink)
	require.NoError(l.t, l.fleet.recordReport(l.agentLink, &awproto.WatchDown{
		Counter: up.Counter, Echo: up.Counter, Report: &awproto.AgentReport{Incarnation: 7},
	}))
}

// requireHeartbeat checks the link and requires that this triggers a heartbeat.
func (l *watchedLink) requireHeartbeat() {
	l.t.Helper()
	heartbeat := l.fleet.nextHeartbeat()
	l.fleet.checkLinks(false)
	select {
	case <-heartbeat:
	default:
		require.Fail(l.t, "no heartbeat was triggered")
	}
}

// isLost reports whether requests with the given context move to other agents.
func isLost(requests context.Context) bool {
	select {
	case <-requests.Done():
		return true
	case <-time.After(2 * lostGrace):
		return false
	}
}

// Guards against moving all running requests because of a pause of the entry itself.
func TestPauseOfEntryMovesNoRequests(t *testing.T) {
	l := newWatchedLink(t)
	running := l.lost
	l.clock.Advance(4 * time.Second)
	l.requireHeartbeat()
	require.Nil(t, l.report, "the agent gets no new requests meanwhile")
	require.NoError(t, l.stream.Err())
	l.answerHeartbeat()
	require.NotNil(t, l.report)
	require.False(t, isLost(running))
	require.Equal(t, running, l.lost, "a later loss of the link still moves the requests")
}

// Guards against requests that stay on a link that is silent or was opened again.
func TestLostLinkMovesRequests(t *testing.T) {
	t.Run("silent", func(t *testing.T) {
		l := newWatchedLink(t)
		running := l.lost
		l.clock.Advance(4 * time.Second)
		l.requireHeartbeat()
		l.fleet.checkLinks(false)
		require.ErrorIs(t, context.Cause(l.stream), errNoHeartbeat)
		require.True(t, isLost(running))
	})
	t.Run("opened again", func(t *testing.T) {
		l := newWatchedLink(t)
		running := l.lost
		l.fleet.suspect(l.agentLink)
		l.openStream()
		l.answerHeartbeat()
		require.True(t, isLost(running))
		require.NoError(t, l.lost.Err(), "new requests use the new link")
	})
}
