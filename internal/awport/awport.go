// Package awport finds free loopback ports for tests and the bench.
//
// Ports are taken below the range that the system gives to outgoing
// connections: a port from that range may be taken by one of those between
// this check and the start of the process that binds it.
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

// nextPort starts at random so that processes that search at once rarely meet.
var nextPort = func() *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(rand.Int64N(lastPort - firstPort))
	return n
}()

// FreeAddress returns a loopback address, IP:port, that is free now and is
// not given out again soon by this process.
func FreeAddress() (string, error) {
	var last error
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		lis, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, lis.Close()
		}
		last = err
	}
	return "", eris.Wrap(last, "free address")
}
