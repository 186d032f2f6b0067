package awload

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

// Guards against report fields that are lost in encoding or decoding.
func TestReportKeepsItsFields(t *testing.T) {
	want := Report{
		Address: "10.0.0.1:80", StartUnixMs: 1791885578892, Active: 12, Queued: 1, Busy: true, CacheUsed: 41000, CacheTotal: 90000,
		Slowdown: 1.25, Versions: map[string]int64{"m": 3, "n": 7},
	}
	got, subscribe, err := decode(want.encode())
	require.NoError(t, err)
	require.Zero(t, subscribe)
	require.Equal(t, want, got)
}

// FuzzDatagram guards against a datagram that crashes the process.
func FuzzDatagram(f *testing.F) {
	r := Report{Address: "a", Versions: map[string]int64{"m": 1}}
	f.Add(r.encode())
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _, _ = decode(b)
	})
}

// Guards against reports to entries that never subscribed or whose subscription
// has expired.
func TestReportsGoToSubscribers(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	loader, err := Listen("127.0.0.1:0", clock)
	require.NoError(t, err)
	entry, err := Listen("127.0.0.1:0", clock)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got, versions := make(chan Report, 16), make(chan map[string]int64, 1)
	go loader.Run(ctx, Handlers{NamedVersions: func(v map[string]int64) {
		select {
		case versions <- v:
		default:
		}
	}})
	go entry.Run(ctx, Handlers{Report: func(r Report) { got <- r }})
	require.Zero(t, loader.Send(Report{Address: "a"}))
	at := netip.MustParseAddrPort(loader.conn.LocalAddr().(*net.UDPAddr).String())
	require.Eventually(t, func() bool {
		entry.Subscribe(at, Subscription(false, map[string]int64{"m": 1}))
		return loader.Send(Report{Address: "a"}) == 1
	}, 20*time.Second, time.Millisecond)
	require.Empty(t, versions, "versions of an entry without the store may be out of date")
	entry.Subscribe(at, Subscription(true, map[string]int64{"m": 4}))
	require.Equal(t, map[string]int64{"m": 4}, <-versions)
	require.Equal(t, "a", (<-got).Address)
	clock.Advance(subscriptionTTL + time.Second)
	require.Zero(t, loader.Send(Report{Address: "a"}))
}
