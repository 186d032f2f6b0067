package awentry

import (
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awproto"
)

type serveFunc = func(*scriptedAgent, awproto.DRPCAgent_ServeStream, *awproto.ServeStart) error

// silentAt sends the tokens before n, falls silent until goOn is closed or the entry
// ends the attempt, and sends the rest.
func silentAt(n uint32, goOn, ended chan struct{}) serveFunc {
	return func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error {
		frames := uint64(0)
		send := func(until uint32) {
			for i := start.ResumeFrom + uint32(frames); i < until; i++ {
				_ = stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Frame{Frame: &awproto.Frame{
					Number: frames, FirstToken: i, Tokens: 1, Data: []byte{byte('a' + i)}, VersionDigest: s.digest,
				}}})
				frames++
			}
		}
		send(n)
		select {
		case <-goOn:
		case <-stream.Context().Done():
			ended <- struct{}{}
			return stream.Context().Err()
		}
		send(3)
		return stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: &awproto.End{Frames: frames, Tokens: 3}}})
	}
}

func refuseFull(_ *scriptedAgent, stream awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
	return stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Refusal{
		Refusal: awproto.NewRefusal(awoutcome.Refuse(awoutcome.QueueFull, "full"), 0),
	}})
}

// dispatchSilent sends a request to agents of which the first falls silent, and
// returns the tokens that the caller gets.
func dispatchSilent(t *testing.T, goOn chan struct{}, budget awretry.Config, agents ...*scriptedAgent) string {
	for _, a := range agents {
		a.digest = "d"
	}
	e := withAgents(t, agents...)
	e.retryBudget = awretry.NewBudget(budget)
	e.firstTokenSilence, e.tokenSilence = 50*time.Millisecond, 50*time.Millisecond
	time.AfterFunc(time.Second, func() { close(goOn) })
	w := httptest.NewRecorder()
	start := &awproto.ServeStart{Model: "m", MaxTokens: 3, PromptTokens: 1, Repeatable: true}
	require.NoError(t, dispatch(e, start, &sseSink{w: w}))
	require.Contains(t, w.Body.String(), "[DONE]")
	require.Equal(t, e.attempts.next()-1, e.attempts.lowWatermark(), "every attempt is settled")
	require.Zero(t, e.fleet.agents["A"].ownInFlight)
	text := ""
	for _, part := range strings.Split(w.Body.String(), `"text":"`)[1:] {
		text += part[:strings.Index(part, `"`)]
	}
	return text
}

// Guards against losing the answer of a silent backend server that goes on after its
// limit while no other one can take over.
func TestSilentServerGoesOnWithoutReplacement(t *testing.T) {
	for name, silentAfter := range map[string]uint32{"first token": 0, "mid-stream": 2} {
		for other, serve := range map[string]serveFunc{"none": nil, "full": refuseFull, "broken": breakLink} {
			t.Run(name+", other "+other, func(t *testing.T) {
				goOn, ended := make(chan struct{}), make(chan struct{}, 9)
				agents := []*scriptedAgent{{serve: silentAt(silentAfter, goOn, ended)}}
				if serve != nil {
					agents = append(agents, &scriptedAgent{serve: serve})
				}
				require.Equal(t, "abc", dispatchSilent(t, goOn, awretry.DefaultConfig(), agents...))
				require.Len(t, agents[0].starts, 1)
			})
		}
	}
	t.Run("retry budget spent", func(t *testing.T) {
		goOn, ended := make(chan struct{}), make(chan struct{}, 9)
		first, second := &scriptedAgent{serve: silentAt(0, goOn, ended)}, &scriptedAgent{serve: sendTokens(3)}
		require.Equal(t, "abc", dispatchSilent(t, goOn, awretry.Config{}, first, second))
		require.Empty(t, second.starts)
	})
	t.Run("other is silent too", func(t *testing.T) {
		goOn, ended := make(chan struct{}), make(chan struct{}, 9)
		first := &scriptedAgent{serve: silentAt(1, goOn, ended)}
		second := &scriptedAgent{serve: silentAt(0, make(chan struct{}), ended)}
		require.Equal(t, "abc", dispatchSilent(t, goOn, awretry.DefaultConfig(), first, second))
		<-ended
	})
}

// Guards against a request that stays on a backend server that hangs.
func TestHungServerIsReplaced(t *testing.T) {
	for name, silentAfter := range map[string]uint32{"first token": 0, "mid-stream": 2} {
		t.Run(name, func(t *testing.T) {
			never, ended := make(chan struct{}), make(chan struct{}, 9)
			first := &scriptedAgent{serve: silentAt(silentAfter, never, ended)}
			second := &scriptedAgent{serve: sendTokens(3)}
			require.Equal(t, "abc", dispatchSilent(t, make(chan struct{}), awretry.DefaultConfig(), first, second))
			<-ended
			require.Len(t, second.starts, 1)
			require.Equal(t, silentAfter, second.starts[0].ResumeFrom)
		})
	}
	t.Run("one after another", func(t *testing.T) {
		never, ended := make(chan struct{}), make(chan struct{}, 9)
		var attempts atomic.Int64
		serve := func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error {
			if n := attempts.Add(1); n <= 2 {
				return silentAt(uint32(n), never, ended)(s, stream, start)
			}
			return sendTokens(3)(s, stream, start)
		}
		first, second, third := &scriptedAgent{serve: serve}, &scriptedAgent{serve: serve}, &scriptedAgent{serve: serve}
		require.Equal(t, "abc", dispatchSilent(t, make(chan struct{}), awretry.DefaultConfig(), first, second, third))
		<-ended
		<-ended
	})
	t.Run("ends while silent", func(t *testing.T) {
		first := &scriptedAgent{serve: func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
			time.Sleep(200 * time.Millisecond)
			return errBroken
		}}
		second := &scriptedAgent{serve: func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error {
			if len(s.starts) == 1 {
				<-stream.Context().Done()
				return stream.Context().Err()
			}
			return sendTokens(3)(s, stream, start)
		}}
		require.Equal(t, "abc", dispatchSilent(t, make(chan struct{}), awretry.DefaultConfig(), first, second))
	})
}

// Guards against ending a standby that runs because the silent attempt fails first.
func TestStandbyGoesOnWhenSilentAttemptFails(t *testing.T) {
	started := make(chan struct{}, 9)
	first := &scriptedAgent{serve: func(*scriptedAgent, awproto.DRPCAgent_ServeStream, *awproto.ServeStart) error {
		<-started
		return errBroken
	}}
	second := &scriptedAgent{serve: func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error {
		started <- struct{}{}
		select {
		case <-time.After(40 * time.Millisecond):
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
		return sendTokens(3)(s, stream, start)
	}}
	require.Equal(t, "abc", dispatchSilent(t, make(chan struct{}), awretry.DefaultConfig(), first, second))
	require.Len(t, second.starts, 1)
}
