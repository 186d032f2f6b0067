package awgateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/internal/awport"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awload"
	"arbutuswind/io/awwatch"
)

// plainCodec reads nothing from headers.
type plainCodec struct{ HeaderCodec }

// DecodeRequest implements [HeaderCodec].
func (plainCodec) DecodeRequest(http.Header) RequestInfo { return RequestInfo{} }

// Guards against overload by an entry whose share others have taken while it was frozen
// or cut off from the store: it refuses until its row is written and read again.
func TestEntryWithoutShareRefuses(t *testing.T) {
	clock, boot := awclock.NewFake(time.Unix(1000, 0)), awclock.NewFake(time.Unix(5000, 0))
	var counted atomic.Bool
	counted.Store(true)
	peerAddress, err := awport.FreeAddress()
	require.NoError(t, err)
	listen := func(address string) *awload.Socket {
		socket, err := awload.Listen(address, clock)
		require.NoError(t, err)
		return socket
	}
	peer := listen(peerAddress)
	go peer.Run(t.Context(), awload.Handlers{ShareAsked: func(entry string) awdirectory.Answer {
		require.Equal(t, "a", entry)
		return awdirectory.Answer{Counted: counted.Load(), Count: 3}
	}})
	g := New(Config{Pool: awbackend.NewPool(awbackend.Config{Clock: clock}), Clock: clock, Boot: boot, Logger: log.NewNopLogger(), Instance: "a", Headers: plainCodec{}})
	require.True(t, g.Configure((&awdirectory.Config{Version: 1, Routes: []awdirectory.Route{{Host: "h", Prefix: "/"}}}).Index()))
	entries := []awdirectory.Entry{{Name: "a"}, {Name: "b", Address: peerAddress}}
	g.Apply(awwatch.State{Entries: entries})
	socket := listen("127.0.0.1:0")
	go socket.Run(t.Context(), g.datagramHandlers())
	status := func() int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		r.Host = "h"
		g.ServeHTTP(w, r)
		return w.Code
	}
	reason := func() string {
		if g.Ready() {
			return ""
		}
		if code := status(); code != http.StatusServiceUnavailable {
			t.Errorf("status %d", code)
		}
		return reasonNoShare
	}
	require.Empty(t, reason())

	boot.Advance(59 * time.Second) // no renewal, and nobody can have taken the share
	require.Eventually(t, func() bool {
		g.askForShare(socket)
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.entryCount == 3
	}, time.Minute, time.Millisecond, "others may know of more entries")
	boot.Advance(2 * time.Second)
	require.Empty(t, reason(), "the store is away from all")
	counted.Store(false)
	require.Eventually(t, func() bool { g.askForShare(socket); return reason() == reasonNoShare }, time.Minute, time.Millisecond)

	g.RecordRenewal(boot.Now())
	require.Equal(t, reasonNoShare, reason(), "the others have not read it")
	boot.Advance(20 * time.Second)
	require.Equal(t, reasonNoShare, reason(), "the store may have been away since")
	g.RecordEntriesRead()
	require.Empty(t, reason())
	boot.Advance(time.Hour) // frozen
	require.Equal(t, reasonNoShare, reason())
}
