package awload

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awbalance"
	"arbutuswind/core/awclock"
)

// Guards against report fields that are lost in encoding or decoding.
func TestReportKeepsItsFields(t *testing.T) {
	want := Report{
		Address: "10.0.0.1:80", StartUnixMs: 1791885578892, Active: 12, Queued: 1, Busy: true, CacheUsed: 41000, CacheTotal: 90000,
		Slowdown: 1.25, Versions: map[string]int64{"m": 3, "n": 7},
	}
	got, err := decode(want.encode())
	require.NoError(t, err)
	require.Zero(t, got.subscribe)
	require.Equal(t, want, got.report)
}

// Guards against fields of a subscription that are lost in encoding or decoding.
func TestSubscriptionKeepsItsFields(t *testing.T) {
	want := Fleet{
		Versions: map[string]int64{"m": 3, "n": 7}, Model: "m", Chunks: 96, ChunkBytes: 24576, Origin: "10.0.0.9:80", OriginDomain: "d",
	}
	got, err := decode(Subscription(&want))
	require.NoError(t, err)
	require.Equal(t, uint64(subscribeConnected), got.subscribe)
	require.Equal(t, want, got.fleet)
	got, err = decode(Subscription(nil))
	require.NoError(t, err)
	require.Equal(t, uint64(subscribeOnly), got.subscribe)
}

// FuzzDatagram guards against a datagram that crashes the process.
func FuzzDatagram(f *testing.F) {
	r := Report{Address: "a", Versions: map[string]int64{"m": 1}}
	f.Add(r.encode())
	f.Add(AppendClaim(Subscription(nil), awbalance.Claim{Demand: 1, Slots: 8, Sharers: 4}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decode(b)
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
	got, fleets := make(chan Report, 16), make(chan Fleet, 1)
	go loader.Run(ctx, Handlers{Fleet: func(f Fleet) {
		select {
		case fleets <- f:
		default:
		}
	}})
	go entry.Run(ctx, Handlers{Report: func(r Report) { got <- r }})
	require.Zero(t, loader.Send(Report{Address: "a"}))
	at := netip.MustParseAddrPort(loader.conn.LocalAddr().(*net.UDPAddr).String())
	require.Eventually(t, func() bool {
		entry.Subscribe(at, Subscription(nil))
		return loader.Send(Report{Address: "a"}) == 1
	}, 20*time.Second, time.Millisecond)
	require.Empty(t, fleets)
	entry.Subscribe(at, Subscription(&Fleet{Model: "m"}))
	require.Equal(t, "m", (<-fleets).Model)
	require.Equal(t, "a", (<-got).Address)
	clock.Advance(subscriptionTTL + time.Second)
	require.Zero(t, loader.Send(Report{Address: "a"}))
}
