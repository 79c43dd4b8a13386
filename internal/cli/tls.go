package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// trustCA makes the tool trust the CA certificates that the operator named,
// and no others.
func (a *App) trustCA() error {
	file := a.or(a.flags.caFile, EnvCAFile)
	if file == "" {
		return nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return fail(ExitUsage, trace.ConvertSystemError(err), "")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fail(ExitUsage, trace.BadParameter("%s holds no certificate", file), "Give a file of PEM certificates with --ca-file.")
	}
	a.HTTP = &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12},
	}}
	return nil
}

// url returns the address as a URL. Without a scheme it is reached over TLS if
// the operator named CA certificates.
func (a *App) url(address string) string {
	switch {
	case strings.Contains(address, "://"):
		return address
	case a.or(a.flags.caFile, EnvCAFile) != "":
		return "https://" + address
	default:
		return "http://" + address
	}
}
