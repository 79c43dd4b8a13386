package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// trustCA makes the HTTP client trust only the CA certificates of --ca-file or
// its environment variable, if one is given.
func (a *App) trustCA() error {
	file := a.flagOrEnv(a.flags.caFile, EnvCAFile)
	if file == "" {
		return nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return fail(ExitUsage, trace.ConvertSystemError(err), "")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fail(ExitUsage, trace.BadParameter("%s contains no certificate", file), "Specify a file with PEM certificates with --ca-file.")
	}
	a.HTTP = &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12},
	}}
	return nil
}

// url returns the address as a URL. An address without a scheme gets https if CA
// certificates are given, and http otherwise.
func (a *App) url(address string) string {
	switch {
	case strings.Contains(address, "://"):
		return address
	case a.flagOrEnv(a.flags.caFile, EnvCAFile) != "":
		return "https://" + address
	default:
		return "http://" + address
	}
}
