// Package awport finds free loopback ports for tests and the bench.
//
// The ports lie below the system's range for outgoing connections. A port in
// that range could be taken by an outgoing connection after this check and
// before the process that needs it binds it.
package awport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	firstPort = 10000
	lastPort  = 32000
)

// nextOffset starts at random so that processes that search at the same time
// rarely try the same ports.
var nextOffset = func() *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(rand.Int64N(lastPort - firstPort))
	return n
}()

// FreeAddress returns a loopback address, IP:port, that is free now. This
// process does not return it again before it has tried all other ports.
func FreeAddress() (string, error) {
	var lastErr error
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextOffset.Add(1)%(lastPort-firstPort))
		lis, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, lis.Close()
		}
		lastErr = err
	}
	return "", eris.Wrap(lastErr, "find a free port")
}
