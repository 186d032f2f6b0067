package awtelemetry

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Traffic counts the bytes sent and received on connections of one kind.
type Traffic struct{ sent, received *metrics.Counter }

// NewTraffic returns the byte counters for connections of the given kind, which
// is part of the metric names.
func NewTraffic(kind string) Traffic {
	return Traffic{
		sent:     metrics.GetOrCreateCounter("arbutuswind_" + kind + "_sent_bytes_total"),
		received: metrics.GetOrCreateCounter("arbutuswind_" + kind + "_received_bytes_total"),
	}
}

// Count wraps conn so that its bytes are counted.
func (t Traffic) Count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, traffic: t} }

type countedConn struct {
	net.Conn
	traffic Traffic
}

// Read implements [net.Conn].
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(n)
	return n, err
}

// Write implements [net.Conn].
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(n)
	return n, err
}
