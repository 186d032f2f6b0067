package awstandin_test

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/internal/awstandin"
)

// connect returns both ends of a connection through a new proxy.
func connect(t *testing.T) (proxy *awstandin.Proxy, client, server net.Conn) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	proxy = awstandin.NewProxy(lis.Addr().String())
	relay, err := proxy.Start("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(func() { _ = relay.Close(); proxy.Reset() })
	client, err = net.Dial("tcp", relay.Addr().String())
	require.NoError(t, err)
	server, err = lis.Accept()
	require.NoError(t, err)
	for _, c := range []net.Conn{client, server} {
		require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		t.Cleanup(func() { _ = c.Close() })
	}
	return proxy, client, server
}

// Guards against a link that passes later bytes of a connection that has lost
// some, so that a receiver takes the rest for the whole.
func TestProxyPassesNothingAfterLostBytes(t *testing.T) {
	drops := map[string]awstandin.ProxyFault{"to server": {DropToServer: true}, "to client": {DropToClient: true}}
	for name, drop := range drops {
		t.Run(name, func(t *testing.T) {
			proxy, from, to := connect(t)
			if drop.DropToClient {
				from, to = to, from
			}
			write := func(c net.Conn, text string) {
				_, err := io.WriteString(c, text)
				require.NoError(t, err)
			}
			readLine := func(c net.Conn) string {
				line, err := bufio.NewReader(c).ReadString('\n')
				require.NoError(t, err)
				return line
			}
			write(from, "first\n")
			require.Equal(t, "first\n", readLine(to))

			proxy.Set(drop)
			write(from, "lost\n")
			require.Eventually(t, func() bool { return proxy.Discarded() > 0 }, 10*time.Second, time.Millisecond)
			proxy.Set(awstandin.ProxyFault{DelayMs: 1}) // another fault takes the place of the first
			write(from, "later\n")
			write(to, "reply\n")
			require.Equal(t, "reply\n", readLine(from), "the other direction must still pass")

			require.NoError(t, from.Close())
			rest, err := io.ReadAll(to)
			require.Empty(t, string(rest))
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}
