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

// reloadPeriod is the least time between two looks at the files.
const reloadPeriod = time.Second

// TLS holds the certificates of the internal protocol and reads them again
// when the files change. Both sides of a connection need a certificate of the
// CA; that of the side that is called must name the instance it is called by.
// It is safe for concurrent use.
type TLS struct {
	files awsettings.TLS
	clock awclock.Clock

	mu       sync.Mutex
	checkedAt time.Time
	stamps    [3]fileStamp
	cert     tls.Certificate
	pool     *x509.CertPool // nil before the first read
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// NewTLS returns the certificates that the settings name. Nothing is read
// until the first use.
func NewTLS(files awsettings.TLS, clock awclock.Clock) *TLS { return &TLS{files: files, clock: clock} }

var reloadFailures = metrics.NewCounter("arbutuswind_tls_reload_failures_total")

// current returns the newest certificates that could be read. Files that are
// unreadable or half written leave the ones before in use.
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
			return eris.Wrap(err, "certificate file")
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
		return eris.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return eris.Errorf("%s holds no certificate in PEM", t.files.CA)
	}
	t.cert, t.pool, t.stamps = cert, pool, stamps
	return nil
}

// Client returns the configuration of one outgoing connection, or nil for
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

// Listen opens the listener of the internal protocol. It fails when the
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

// serverName returns the name that the certificate of a target must have.
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
