package commander

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
)

// transport returns the HTTP client for the administration address and its URL scheme.
func (l *commandLine) transport() (*http.Client, string, error) {
	// Proxy is not set: routers are reached directly by IP address, whatever proxy the environment names.
	transport := &http.Transport{}
	if l.CAFile == "" {
		return &http.Client{Transport: transport}, "http", nil
	}
	pem, err := os.ReadFile(l.CAFile)
	if err != nil {
		return nil, "", &FileError{File: l.CAFile, Cause: err}
	}
	config := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12}
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, "", &FileError{File: l.CAFile, Cause: &NoCertificateError{}}
	}
	if l.CertFile != "" {
		certificate, err := tls.LoadX509KeyPair(l.CertFile, l.KeyFile)
		if err != nil {
			return nil, "", &FileError{File: l.CertFile, Cause: err}
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	transport.TLSClientConfig = config
	return &http.Client{Transport: transport}, "https", nil
}

// NoCertificateError reports a PEM file without a certificate.
type NoCertificateError struct{}

func (e *NoCertificateError) Error() string { return "no PEM certificate found" }
