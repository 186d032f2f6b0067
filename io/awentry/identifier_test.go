package awentry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
)

// Guards against values of a caller that messages cannot hold: the call fails as if its
// link were lost, and a team's name keeps all entries from sharing the teams' rates.
func TestTextThatIsNotUTF8IsRefused(t *testing.T) {
	agent := &scriptedAgent{serve: func(_ *scriptedAgent, s awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
		return s.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: &awproto.End{Status: http.StatusOK}}})
	}}
	addr, _ := serveCallers(t, withAgents(t, agent))
	for name, request := range map[string]string{
		"team":         rawRequest("/v1/services/s/x", awhttp.HeaderTeam+": \xff\r\n", "b"),
		"key":          rawRequest("/v1/services/s/x", awhttp.HeaderTeam+": t\r\n"+awhttp.HeaderKey+": \xff\r\n", "b"),
		"content type": rawRequest("/v1/services/s/x", "Content-Type: \xff\r\n", "b"),
		"path":         rawRequest("/v1/services/s/%FF", "", "b"),
		"service":      rawRequest("/v1/services/%FF/x", "", "b"),
	} {
		conn := dialEntry(t, addr)
		conn.write(t, request)
		resp, body := conn.read(t, name)
		require.Equal(t, http.StatusBadRequest, resp.StatusCode, name+body)
		require.Equal(t, awoutcome.NotRun.String(), resp.Header.Get(awhttp.HeaderOutcome), name)
	}
	require.Empty(t, agent.starts)
}
