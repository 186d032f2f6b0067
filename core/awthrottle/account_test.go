package awthrottle

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against malformed signals that take a sound server out for good or send
// it more than it takes.
func TestSignals(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   Texts
		want Signals
	}{
		{"nothing", Texts{}, Signals{}},
		{"limit", Texts{RateLimit: " 4.2 "}, Signals{Limited: true, RateLimit: 4.2}},
		{"zero limit", Texts{RateLimit: "0"}, Signals{Limited: true}},
		{"negative limit", Texts{RateLimit: "-1"}, Signals{LimitUnreadable: true}},
		{"not a number", Texts{RateLimit: "NaN"}, Signals{LimitUnreadable: true}},
		{"infinite", Texts{RateLimit: "1e999"}, Signals{LimitUnreadable: true}},
		{"text", Texts{RateLimit: "many"}, Signals{LimitUnreadable: true}},
		{"leaving", Texts{Leaving: "1"}, Signals{Leaving: true}},
		{"other value of leaving", Texts{Leaving: "true"}, Signals{}},
		{"pause", Texts{RetryAfter: "0.25"}, Signals{Pause: 250 * time.Millisecond}},
		{"no pause", Texts{RetryAfter: "0"}, Signals{}},
		{"negative pause", Texts{RetryAfter: "-3"}, Signals{}},
		{"date", Texts{RetryAfter: "Fri, 04 Dec 2026 20:00:00 GMT"}, Signals{}},
		{"endless pause", Texts{RetryAfter: "1e30"}, Signals{Pause: maxPause}},
	} {
		require.Equal(t, tc.want, tc.in.Parse(), tc.name)
	}
}

// FuzzSignals guards against texts whose effect is not bounded.
func FuzzSignals(f *testing.F) {
	f.Add("4.2", "1", "2")
	f.Add("-0", "0", "NaN")
	f.Add("1e309", "", "-Inf")
	f.Fuzz(func(t *testing.T, limit, leaving, retryAfter string) {
		now := time.Unix(1000, 0)
		s := Texts{RateLimit: limit, Leaving: leaving, RetryAfter: retryAfter}.Parse()
		var a Account
		a.Observe(s, now, now)
		if rate, limited := a.Limit(); limited {
			require.False(t, math.IsNaN(rate))
			require.GreaterOrEqual(t, rate, minRate)
			require.LessOrEqual(t, rate, float64(maxRate))
		}
		require.LessOrEqual(t, a.PausedUntil.Sub(now), maxPause)
		require.Equal(t, s.Leaving, a.Leaving)
	})
}

// Guards against a limit that a response which overtook another one lifts, and
// against one that cannot be lifted.
func TestLimitIsLiftedByLaterRequest(t *testing.T) {
	var a Account
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.True(t, a.Observe(Signals{Limited: true, RateLimit: 3}, at(0), at(10)).Limit)
	require.False(t, a.Observe(Signals{}, at(5), at(20)).Limit, "sent before the limit was known")
	require.False(t, a.Observe(Signals{LimitUnreadable: true}, at(15), at(30)).Limit)
	rate, limited := a.Limit()
	require.True(t, limited)
	require.Equal(t, 3.0, rate)
	require.True(t, a.Observe(Signals{}, at(15), at(40)).Limit)
	_, limited = a.Limit()
	require.False(t, limited)
}
