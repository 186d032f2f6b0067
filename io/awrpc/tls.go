package awrpc

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awsettings"
)

// reloadPeriod is the minimum time between two checks of the files.
const reloadPeriod = time.Second

// TLS holds the certificates of the internal protocol and reloads them when the
// files change. Both sides of a connection need a certificate issued by the CA.
// The server's certificate must be valid for the instance name that the client
// dials. TLS is safe for concurrent use.
type TLS struct {
	files awsettings.TLS
	clock awclock.Clock

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]fileStamp
	cert      tls.Certificate
	pool      *x509.CertPool // nil before the first successful read
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// NewTLS returns a TLS that uses the files named in the settings. It reads them
// on first use.
func NewTLS(files awsettings.TLS, clock awclock.Clock) *TLS { return &TLS{files: files, clock: clock} }

var reloadFailures = metrics.NewCounter("arbutuswind_tls_reload_failures_total")

// current returns the certificates, reloading them if the files changed. If the
// files cannot be read, for example because they are partly written, the
// previous certificates stay in use.
func (t *TLS) current() (tls.Certificate, *x509.CertPool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.pool != nil && now.Sub(t.checkedAt) < reloadPeriod {
		return t.cert, t.pool, nil
	}
	t.checkedAt = now
	if err := t.reload(); err != nil {
		reloadFailures.Inc()
		if t.pool == nil {
			return t.cert, nil, err
		}
	}
	return t.cert, t.pool, nil
}

func (t *TLS) reload() error {
	var stamps [3]fileStamp
	for i, name := range []string{t.files.Certificate, t.files.Key, t.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return eris.Wrap(err, "stat certificate file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	if t.pool != nil && stamps == t.stamps {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(t.files.Certificate, t.files.Key)
	if err != nil {
		return eris.Wrap(err, "read certificate and key")
	}
	ca, err := os.ReadFile(t.files.CA)
	if err != nil {
		return eris.Wrap(err, "read CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return eris.Errorf("%s contains no PEM certificate", t.files.CA)
	}
	t.cert, t.pool, t.stamps = cert, pool, stamps
	return nil
}

// Client returns the TLS configuration for one outgoing connection, or nil for
// plain TCP.
func (t *TLS) Client() (*tls.Config, error) {
	if t.files.Plain {
		return nil, nil
	}
	cert, pool, err := t.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// Listen returns a listener for the internal protocol on addr. It fails if the
// certificates cannot be read.
func (t *TLS) Listen(addr string) (net.Listener, error) {
	if t.files.Plain {
		return Listen(addr, nil)
	}
	if _, _, err := t.current(); err != nil {
		return nil, err
	}
	return Listen(addr, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := t.current()
			return &tls.Config{
				Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
				MinVersion: tls.VersionTLS13,
			}, err
		},
	})
}

// serverName returns the name that the certificate of the target must be valid
// for: its instance or, if that is unknown, the host of its address.
func serverName(t Target) string {
	if t.Instance != "" {
		return t.Instance
	}
	host, _, err := net.SplitHostPort(t.Address)
	if err != nil {
		return t.Address
	}
	return host
}
