package awstandin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/io/awsettings"
)

// Authority is a certificate authority for tests of the internal protocol.
type Authority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	pem    []byte
	serial atomic.Int64
}

const certificateValidity = time.Hour

// NewAuthority creates a self-signed authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate CA key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-certificateValidity), NotAfter: now.Add(certificateValidity), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse CA certificate")
	}
	a := &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}
	a.serial.Store(1)
	return a, nil
}

// Issue writes the certificate and key of an instance and the CA certificate
// into dir. It returns TLS settings with the paths of these files.
func (a *Authority) Issue(dir, instance string, notAfter time.Time) (awsettings.TLS, error) {
	files := awsettings.TLS{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial.Add(1)), Subject: pkix.Name{CommonName: instance}, DNSNames: []string{instance},
		NotBefore: time.Now().Add(-certificateValidity), NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, eris.Wrap(err, "certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "encode key")
	}
	for name, data := range map[string][]byte{
		files.Certificate: encodePEM("CERTIFICATE", der), files.Key: encodePEM("PRIVATE KEY", keyDER), files.CA: a.pem,
	} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			return files, eris.Wrap(err, "write certificate")
		}
	}
	return files, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
