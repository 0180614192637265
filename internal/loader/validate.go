package loader

// Validate checks the ranges and the consistency of settings that were built in code; Load does so for files. The
// result is empty if the settings are valid.
func (s *Settings) Validate() SettingsErrors { return s.validate(nil) }

func (s *Settings) validate(skip map[string]bool) SettingsErrors {
	problems := checkTags(s, skip)
	conflict := func(bad bool, path, reason string) {
		if bad && !skip[path] {
			problems = append(problems, &ConflictError{Position: Position{Field: path}, Reason: reason})
		}
	}
	if !s.Gateway.Enabled() && s.Platform.Log.Address == "" && !skip["platform.log.address"] {
		problems = append(problems, &MissingError{Position: Position{Field: "platform.log.address"}})
	}
	for _, field := range []struct{ path, value string }{
		{"gateway.directory.protocol", s.Gateway.Directory.Protocol}, {"gateway.dialect", s.Gateway.Dialect},
		{"gateway.readiness.listen", s.Gateway.Readiness.Listen}, {"gateway.readiness.path", s.Gateway.Readiness.Path},
	} {
		if s.Gateway.Enabled() && field.value == "" && !skip[field.path] {
			problems = append(problems, &MissingError{Position: Position{Field: field.path}})
		}
	}
	conflict(s.Membership.ProbeTimeout >= s.Membership.ProbeInterval, "membership.probe_timeout",
		"must be below membership.probe_interval")
	conflict(s.Scheduling.RetryAfterMax < s.Scheduling.RetryAfterMin, "scheduling.retry_after_max",
		"must be at least scheduling.retry_after_min")
	conflict(s.Callers.Listen != "" && s.Callers.Listen == s.Admin.Listen, "admin.listen",
		"is also callers.listen")
	conflict(s.Callers.Listen != "" && s.Callers.Listen == s.Peers.Listen, "peers.listen",
		"is also callers.listen")
	conflict(s.Peers.Listen != "" && s.Peers.Listen == s.Admin.Listen, "admin.listen",
		"is also peers.listen")
	for _, listener := range s.TLS.listeners() {
		files, path := listener.files, "tls."+listener.name
		conflict(files.CertFile == "" && files.KeyFile != "", path+".key_file", "needs cert_file too")
		conflict(files.CertFile != "" && files.KeyFile == "", path+".cert_file", "needs key_file too")
		conflict(files.CertFile == "" && files.ClientCAFile != "", path+".client_ca_file",
			"needs cert_file and key_file too")
	}
	return problems
}
