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

// Guards against claims that are lost in encoding or decoding, and against a claim
// that changes the subscription of another server.
func TestSubscriptionKeepsItsClaim(t *testing.T) {
	subscription := Subscription(&Fleet{Model: "m"})
	want := awbalance.Claim{Demand: 12.25, Slots: 8, Sharers: 4}
	got, err := decode(AppendClaim(subscription[:len(subscription):len(subscription)], want))
	require.NoError(t, err)
	require.Equal(t, want, got.claim)
	require.Equal(t, "m", got.fleet.Model)
	got, err = decode(subscription)
	require.NoError(t, err)
	require.False(t, got.claim.Valid())
}

// Guards against reports that hold another subscriber's share, or a share for a
// subscriber that sends no claims.
func TestReportsHoldTheShareOfTheirReceiver(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listen := func(h Handlers) (*Socket, netip.AddrPort) {
		s, err := Listen("127.0.0.1:0", clock)
		require.NoError(t, err)
		go s.Run(ctx, h)
		return s, netip.MustParseAddrPort(s.conn.LocalAddr().(*net.UDPAddr).String())
	}
	loader, at := listen(Handlers{})
	subscriptions := [][]byte{
		AppendClaim(Subscription(nil), awbalance.Claim{Demand: 30, Slots: 9, Sharers: 3}),
		AppendClaim(Subscription(nil), awbalance.Claim{Demand: 10, Slots: 9, Sharers: 3}),
		Subscription(nil),
	}
	var reports []chan Report
	for _, subscription := range subscriptions {
		got := make(chan Report, 1)
		entry, _ := listen(Handlers{Report: func(r Report) { got <- r }})
		reports = append(reports, got)
		entry.Subscribe(at, subscription)
	}
	require.Eventually(t, func() bool {
		addresses, _, _ := loader.current()
		return len(addresses) == len(subscriptions)
	}, 20*time.Second, time.Millisecond)
	require.Equal(t, len(subscriptions), loader.Send(Report{Address: "a", Draw: 0.5}))
	busy, quiet, other := <-reports[0], <-reports[1], <-reports[2]
	require.True(t, busy.Shared && quiet.Shared)
	require.Greater(t, busy.Share, quiet.Share)
	require.Equal(t, 6, busy.Share+quiet.Share)
	require.False(t, other.Shared)
}

// Guards against a process that takes the first claims after a pause for those of
// entries that it has known for long, and gives all slots to the first one.
func TestFirstClaimIsForgottenWithTheLastClaim(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	s, err := Listen("127.0.0.1:0", clock)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.conn.Close() })
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	claim := awbalance.Claim{Demand: 1, Slots: 8, Sharers: 4}
	first := clock.Now()
	s.subscribe(a, claim)
	for range 5 {
		clock.Advance(time.Second)
		s.subscribe(a, claim)
		_, _, at := s.current()
		require.Equal(t, first, at)
	}
	for range 4 { // another subscriber stays, which sends no claims
		clock.Advance(time.Second)
		s.subscribe(b, awbalance.Claim{})
		addresses, _, _ := s.current()
		require.Contains(t, addresses, b)
	}
	_, claims, at := s.current()
	require.Zero(t, at)
	require.Empty(t, claims)
	s.subscribe(a, claim)
	_, claims, at = s.current()
	require.Equal(t, clock.Now(), at)
	require.Len(t, claims, 2)
}
