package awrpc

import (
	"net"

	"arbutuswind/io/awhttp"
)

// Guard returns lis with connections that g bounds, like those of HTTP listeners.
func Guard(lis net.Listener, g *awhttp.Guard) net.Listener { return guardedListener{lis, g} }

type guardedListener struct {
	net.Listener
	guard *awhttp.Guard
}

// Accept implements [net.Listener].
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		transport := conn
		if c, ok := conn.(interface{ NetConn() net.Conn }); ok {
			transport = c.NetConn() // the Close of a TLS connection may wait for the client
		}
		c := &guardedConn{Conn: conn}
		c.account = l.guard.Account(func() { c.account.Close(); _ = transport.Close() }, nil) // nobody waits for the result
		if c.account.Admit() {
			return c, nil
		}
	}
}

// guardedConn accounts the messages that a connection makes the process hold.
type guardedConn struct {
	net.Conn
	account *awhttp.Account
	frames  frameMeter
}

// Read implements [net.Conn].
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.frames.write(p[:n])
		c.account.ReadMessage(n, c.frames.held(), c.frames.unfinished() >= smallMessage)
	}
	return n, err
}

// Write implements [net.Conn].
func (c *guardedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.account.WroteMessage(n)
	return n, err
}

// Close implements [net.Conn].
func (c *guardedConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// smallMessage is the size up to which an unfinished message does not make its
// connection one that may be closed. Messages besides requests and chunks are smaller.
const smallMessage = 64 << 10

// messageCopies is how often a message is held: in the reader's buffer, which does not
// shrink, and as the message.
const messageCopies = 2

// frameMeter follows the frames of the internal protocol, DRPC, without keeping them:
// a control byte, then stream, message and length as varints, then the data.
type frameMeter struct {
	field  int   // of the frame's head: 0 control, 1 stream, 2 message, 3 length, 4 data
	done   bool  // the frame is the last one of its message
	length int64 // of the data left
	shift  uint
	size   int64 // of the unfinished message
	max    int64 // of a message so far
}

func (m *frameMeter) unfinished() int64 { return m.size }

// held returns the bytes that the connection's reader holds.
func (m *frameMeter) held() int64 { return messageCopies * max(m.max, m.size) }

func (m *frameMeter) write(p []byte) {
	for len(p) > 0 {
		if m.field == dataField {
			n := min(int64(len(p)), m.length)
			p, m.length, m.size = p[n:], m.length-n, m.size+n
		} else {
			m.head(p[0])
			p = p[1:]
		}
		if m.field == dataField && m.length == 0 {
			m.endFrame()
		}
	}
}

const (
	lengthField = 3
	dataField   = 4
	maxShift    = 63
)

// head reads one byte of a frame's head.
func (m *frameMeter) head(b byte) {
	if m.field == 0 {
		m.field, m.done, m.length, m.shift = 1, b&1 != 0, 0, 0
		return
	}
	if m.field == lengthField && m.shift < maxShift {
		m.length |= int64(b&0x7f) << m.shift
		m.shift += 7
	}
	if b < 0x80 {
		m.field++
	}
}

func (m *frameMeter) endFrame() {
	m.field, m.max = 0, max(m.max, m.size)
	if m.done {
		m.size = 0
	}
}
