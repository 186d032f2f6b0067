package awgateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/io/awload"
)

// shareAskInterval is the time between two questions to the other entries whether they
// count this one.
const shareAskInterval = 2 * time.Second

// reasonNoShare is the reason of requests that are refused because this entry may not use
// its share of the limits.
const reasonNoShare = "NoShare"

// share is what a [Gateway] knows of its own share of the limits that all entries divide.
// The gateway's mu protects it.
type share struct {
	clock awclock.Clock // counts the time for which the machine is suspended
	own   *awdirectory.OwnShare
	read  int  // entries that count, as read from the list
	gone  bool // the share was not usable at the last check
}

func newShare(clock awclock.Clock) share {
	return share{clock: clock, own: awdirectory.NewOwnShare(clock.Now()), read: 1}
}

// RecordRenewal records that this entry's row was written by a call that began at a time
// of [Config.Boot].
func (g *Gateway) RecordRenewal(begun time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.own.Renewed(begun, g.share.clock.Now())
}

// RecordEntriesRead records a read of the list of entries.
func (g *Gateway) RecordEntriesRead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.own.Read(g.share.clock.Now())
}

// hasShare reports whether this entry may use its share.
func (g *Gateway) hasShare() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkShare()
}

// checkShare reports whether this entry may use its share and logs a change; mu must be
// held.
func (g *Gateway) checkShare() bool {
	usable := g.share.own.Usable(len(g.noticeTargets), g.share.clock.Now())
	if g.share.gone == usable {
		g.share.gone = !usable
		_ = level.Warn(g.cfg.Logger).Log("Message", "share of the limits", "Usable", usable, "Entries", g.share.read)
	}
	return usable
}

// updateEntryCount passes the number of entries on that divide the limits; mu must be
// held.
func (g *Gateway) updateEntryCount() {
	if n := g.share.own.Count(g.share.read); n != g.entryCount {
		g.entryCount = n
		g.dispatch.SetEntryCount(n)
	}
}

// KeepShare asks the other entries whether they still count this one while it cannot read
// the list or renew its row, until ctx is done.
func (g *Gateway) KeepShare(ctx context.Context, socket *awload.Socket) {
	tick := time.NewTicker(shareAskInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.contain("share", func() { g.askForShare(socket) })
		}
	}
}

func (g *Gateway) askForShare(socket *awload.Socket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkShare()
	g.updateEntryCount()
	if !g.share.own.Asks(g.share.clock.Now()) {
		return
	}
	for _, addr := range g.noticeTargets {
		socket.AskShare(addr, g.cfg.Instance)
	}
}

// handleShareAnswer handles the answer of another entry.
func (g *Gateway) handleShareAnswer(a awdirectory.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.own.Heard(a, g.share.clock.Now())
	g.updateEntryCount()
}
