package awstream

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awoutcome"
)

// Guards against a sender that has more bytes in flight than the window plus one
// frame, and against a paused response that can never be resumed.
func TestWindowLimitsBytesInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := rapid.Uint32Range(1, 1<<16).Draw(t, "initial")
		w := NewWindow(initial)
		var uncredited []int // sizes of the frames for which the receiver has not returned credit
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				held := 0
				for _, n := range uncredited {
					held += FrameCost(n)
				}
				last := 0
				if len(uncredited) > 0 {
					last = FrameCost(uncredited[len(uncredited)-1])
				}
				require.Less(t, held-last, int(initial))
				if held == 0 {
					require.True(t, w.CanResume())
				}
			},
			"send": func(t *rapid.T) {
				if n := rapid.IntRange(0, 1<<14).Draw(t, "frame"); w.Consume(n) {
					uncredited = append(uncredited, n)
				}
			},
			"read": func(t *rapid.T) {
				if len(uncredited) == 0 {
					t.Skip("nothing to read")
				}
				w.Add(uint32(FrameCost(uncredited[0])))
				uncredited = uncredited[1:]
			},
		})
	})
}

// Guards against an overflow of the credit, which would close the window.
func TestWindowOverflow(t *testing.T) {
	w := NewWindow(math.MaxUint32)
	for range 1 << 10 {
		w.Add(math.MaxUint32)
	}
	require.True(t, w.Consume(1))
}

// Guards against completions that mix weights, skip or repeat tokens, or are
// reported as complete although they were truncated.
func TestPosition(t *testing.T) {
	type token struct {
		index  uint32
		digest string
	}
	for name, c := range map[string]struct {
		from   Position
		tokens []token
		finish string
		want   awoutcome.Reason
	}{
		"whole":                    {Position{}, []token{{0, "a"}, {1, "a"}}, "stop", ""},
		"whole at the token limit": {Position{}, []token{{0, "a"}, {1, "a"}, {2, "a"}}, "", ""},
		"resumed":                  {Position{Next: 2, Digest: "a"}, []token{{2, "a"}}, "stop", ""},
		"other weights":            {Position{}, []token{{0, "a"}, {1, "b"}}, "stop", awoutcome.IdentityChanged},
		"resumed differently":      {Position{Next: 2, Digest: "a"}, []token{{2, "b"}}, "stop", awoutcome.IdentityChanged},
		"gap":                      {Position{}, []token{{0, "a"}, {2, "a"}}, "stop", awoutcome.IdentityChanged},
		"repeat":                   {Position{}, []token{{0, "a"}, {0, "a"}}, "stop", awoutcome.IdentityChanged},
		"cut":                      {Position{}, []token{{0, "a"}}, "", awoutcome.Truncated},
	} {
		t.Run(name, func(t *testing.T) {
			p := c.from
			var err *awoutcome.Error
			for _, tok := range c.tokens {
				if err = p.Advance(tok.index, tok.digest); err != nil {
					break
				}
			}
			if err == nil {
				err = p.Finish(c.finish, 3)
			}
			if c.want == "" {
				require.Nil(t, err)
				return
			}
			require.Equal(t, c.want, err.Reason)
			require.Equal(t, awoutcome.Unknown, err.Outcome)
		})
	}
}
