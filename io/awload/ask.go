package awload

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"arbutuswind/core/awdirectory"
)

// Values of fieldShareCounted.
const (
	shareNotCounted = 1
	shareCounted    = 2
)

// Limits of the numbers in an answer, so that they cannot overflow.
const (
	maxReadMs  = uint64(24 * time.Hour / time.Millisecond)
	maxEntries = 1 << 20
)

// AskShare asks the entry at addr whether it counts the entry with the given name.
func (s *Socket) AskShare(addr netip.AddrPort, self string) {
	s.sendPayload(addr, fieldShareAsk, []byte(self)) // asked again
}

func (s *Socket) answerShare(addr netip.AddrPort, a awdirectory.Answer) {
	counted := uint64(shareNotCounted)
	if a.Counted {
		counted = shareCounted
	}
	var b []byte
	for _, f := range []struct {
		number protowire.Number
		value  uint64
	}{
		{fieldShareReadMs, uint64(max(0, a.ReadFor.Milliseconds()))},
		{fieldShareWrittenMs, uint64(max(0, a.WrittenAgo.Milliseconds()))},
		{fieldShareCount, uint64(a.Count)},
		{fieldShareCounted, counted},
	} {
		b = protowire.AppendTag(b, f.number, protowire.VarintType)
		b = protowire.AppendVarint(b, f.value)
	}
	_, _ = s.conn.WriteToUDPAddrPort(b, addr)
}

// handleShare handles a question of another entry, or its answer.
func (s *Socket) handleShare(from netip.AddrPort, d *datagram, h *Handlers) {
	switch {
	case d.shareAsk != "" && h.ShareAsked != nil:
		s.answerShare(from, h.ShareAsked(d.shareAsk))
	case d.answered && h.ShareAnswer != nil:
		h.ShareAnswer(d.answer)
	}
}
