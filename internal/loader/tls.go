package loader

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// TLS holds the certificates of the three listeners. A listener without files uses plain HTTP.
type TLS struct {
	// Callers is for the callers' listener.
	Callers TLSFiles `yaml:"callers" help:"certificates for callers"`
	// Peers is for the listener of other routers, and for connections to them.
	Peers TLSFiles `yaml:"peers" help:"certificates among routers"`
	// Admin is for the operators' listener.
	Admin TLSFiles `yaml:"admin" help:"certificates for operators"`
}

// TLSFiles names PEM files.
type TLSFiles struct {
	// CertFile is the PEM file of the certificate and its chain.
	CertFile string `yaml:"cert_file" unit:"path" help:"PEM file of the certificate; empty means plain HTTP"`
	// KeyFile is the PEM file of the private key.
	KeyFile string `yaml:"key_file" unit:"path" help:"PEM file of the private key"`
	// ClientCAFile is the PEM file of the certificate authorities; if set, client certificates signed by one of them
	// are required. Connections to other routers verify the servers with the same authorities.
	ClientCAFile string `yaml:"client_ca_file" unit:"path" help:"PEM file of authorities; set means that client certificates are demanded"`
}

type namedFiles struct {
	name  string
	files TLSFiles
}

func (t TLS) listeners() []namedFiles {
	return []namedFiles{{"callers", t.Callers}, {"peers", t.Peers}, {"admin", t.Admin}}
}

// Check reads all certificate files, so that a bad one stops the router at start and not at the first handshake.
func (t TLS) Check() SettingsErrors {
	var problems SettingsErrors
	for _, listener := range t.listeners() {
		if _, err := listener.files.ServerConfig(); err != nil {
			problems = append(problems, &CertificateError{
				Position: Position{Field: "tls." + listener.name}, Cause: err})
		}
	}
	return problems
}

// ServerConfig returns the configuration of a listener, or nil if it uses plain HTTP.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	config, authorities, err := f.load()
	if config == nil || err != nil {
		return nil, err
	}
	if authorities != nil {
		config.ClientCAs = authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the configuration of connections to other routers, or nil if they use plain HTTP.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	config, authorities, err := f.load()
	if config == nil || err != nil {
		return nil, err
	}
	config.RootCAs = authorities
	return config, nil
}

func (f TLSFiles) load() (*tls.Config, *x509.CertPool, error) {
	if f.CertFile == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, nil, &ReadError{Position: Position{File: f.CertFile}, Cause: err}
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	if f.ClientCAFile == "" {
		return config, nil, nil
	}
	pem, err := os.ReadFile(f.ClientCAFile)
	if err != nil {
		return nil, nil, &ReadError{Position: Position{File: f.ClientCAFile}, Cause: err}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, nil, &SyntaxError{Position: Position{File: f.ClientCAFile}, Message: "no PEM certificate found"}
	}
	return config, authorities, nil
}
