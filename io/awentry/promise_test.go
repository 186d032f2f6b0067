package awentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
)

// Guards against NotRunIsTrue: a status that promises "not run" is passed on from a
// service that has run the call. Callers then send it again.
func TestUnprovenRejectionIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			agent := &scriptedAgent{serve: func(_ *scriptedAgent, s awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
				return s.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: &awproto.End{Status: int32(status)}}})
			}}
			e := withAgents(t, agent)
			go e.claims.writeLoop(t.Context())
			addr, _ := serveCallers(t, e)
			conn := dialEntry(t, addr)
			requireUnknown := func(name, header string) {
				conn.write(t, rawRequest("/v1/services/s/x", header, "b"))
				resp, body := conn.read(t, name)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, name)
				var p awhttp.Problem
				require.NoError(t, json.Unmarshal([]byte(body), &p), name+body)
				require.Equal(t, awoutcome.Unknown.String(), p.Outcome, name)
				require.Equal(t, p.Outcome, resp.Header.Get(awhttp.HeaderOutcome), name)
			}
			requireUnknown("without a key", "")
			keyed := awhttp.HeaderTeam + ": t\r\n" + awhttp.HeaderKey + ": k\r\n"
			requireUnknown("with a key", keyed)
			requireUnknown("with the same key", keyed)
			require.Len(t, agent.starts, 2, "a keyed call runs once")
		})
	}
}

// Guards WholeAnswer: the status of an agent's response, or of a record, is none of HTTP.
// Writing it would panic or pass it on.
func TestInvalidStatusOfAgent(t *testing.T) {
	for _, status := range []int32{0, 99, 600} {
		agent := &scriptedAgent{serve: func(_ *scriptedAgent, s awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
			return s.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: &awproto.End{Status: status}}})
		}}
		e := withAgents(t, agent)
		go e.claims.writeLoop(t.Context())
		addr, _ := serveCallers(t, e)
		for _, header := range []string{"", awhttp.HeaderTeam + ": t\r\n" + awhttp.HeaderKey + ": k\r\n"} {
			conn := dialEntry(t, addr)
			conn.write(t, rawRequest("/v1/services/s/x", header, "b"))
			resp, _ := conn.read(t, header)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, status)
			require.Equal(t, awoutcome.Unknown.String(), resp.Header.Get(awhttp.HeaderOutcome), status)
		}
	}
}
