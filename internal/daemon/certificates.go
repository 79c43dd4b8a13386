package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/settings"
)

// certificates holds the TLS certificate in force and the trusted roots. Without
// a certificate, connections are plain TCP. It is safe for concurrent use.
type certificates struct {
	files settings.TLS
	cert  atomic.Pointer[tls.Certificate]
	roots *x509.CertPool
}

func newCertificates(files settings.TLS) (*certificates, error) {
	c := &certificates{files: files}
	if files.CAFile != "" {
		pem, err := os.ReadFile(files.CAFile)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		c.roots = x509.NewCertPool()
		if !c.roots.AppendCertsFromPEM(pem) {
			return nil, trace.BadParameter("%s contains no certificate", files.CAFile)
		}
	}
	return c, trace.Wrap(c.reload())
}

// reload reads the certificate files again. On an error the previous certificate stays in force.
func (c *certificates) reload() error {
	if c.files.CertFile == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return trace.Wrap(err, "certificate %s", c.files.CertFile)
	}
	c.cert.Store(&cert)
	return nil
}

// server returns the TLS configuration for accepting connections, or nil for plain TCP.
func (c *certificates) server() *tls.Config {
	if c.cert.Load() == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.cert.Load(), nil },
	}
}

// client returns the TLS configuration for dialling, or nil for plain TCP.
func (c *certificates) client() *tls.Config {
	if c.cert.Load() == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.roots}
}
