package node

import (
	"context"
	"time"

	"cobaltward/certificates"
)

// certificateWatch detects changes of the node's certificates, both in files and in secrets that a control plane
// sends. Only one goroutine uses it.
type certificateWatch struct {
	tls      *nodeTLS
	files    []*certificates.FileWatcher
	secrets  map[*certificates.Store]*certificates.Set // certificate sets at the last check
	rejected map[string]string                         // reasons for rejected files, by source
	warnings *certificates.ExpiryWarnings
}

// run applies changed certificates until ctx ends. It also logs a warning for certificates that expire soon.
func (s *nodeTLS) run(ctx context.Context) {
	if s == nil {
		return
	}
	watch := s.newCertificateWatch()
	ticker := time.NewTicker(s.config.CheckInterval)
	defer ticker.Stop()
	for {
		watch.logExpiries()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if watch.check() {
			s.applyCertificates()
		}
	}
}

func (s *nodeTLS) newCertificateWatch() *certificateWatch {
	watch := &certificateWatch{
		tls:      s,
		secrets:  make(map[*certificates.Store]*certificates.Set),
		rejected: make(map[string]string),
		warnings: certificates.NewExpiryWarnings(s.config.ExpiryWarnings),
	}
	for _, store := range s.config.Secrets {
		watch.secrets[store] = store.Set()
	}
	for _, store := range s.config.Stores {
		if _, isSecret := watch.secrets[store]; !isSecret {
			watch.files = append(watch.files, store.Watch())
		}
	}
	for _, listener := range []*TLSListener{s.config.Clients, s.config.AdminAPI} {
		if listener != nil && listener.Tickets != nil {
			watch.files = append(watch.files, listener.Tickets.Watch())
		}
	}
	return watch
}

// logExpiries logs the certificates that have expired or will expire soon.
func (c *certificateWatch) logExpiries() {
	log := c.tls.log
	for _, warning := range c.warnings.Due(time.Now(), c.tls.certificates()) {
		if warning.Remaining <= 0 {
			log.Error("tls: certificate has expired",
				"source", warning.Source, "serial", warning.Serial, "ended", warning.ExpiresAt)
			continue
		}
		log.Warn("tls: certificate will expire", "source", warning.Source, "serial", warning.Serial,
			"ends", warning.ExpiresAt, "left", warning.Remaining.Round(time.Minute))
	}
}

// check reads changed files and secrets. It reports whether there are new certificates, authorities or ticket keys.
func (c *certificateWatch) check() (changed bool) {
	for store, before := range c.secrets {
		if now := store.Set(); now != before {
			c.secrets[store], changed = now, true
		}
	}
	for _, file := range c.files {
		if c.checkFile(file) {
			changed = true
		}
	}
	var rejected *string
	for _, reason := range c.rejected { // the status shows one of the reasons; the log has all of them
		rejected = &reason
	}
	c.tls.rejectedFileReason.Store(rejected)
	return changed
}

// checkFile reads a file again if it has changed. After an error, the previous content of the file stays in use.
func (c *certificateWatch) checkFile(file *certificates.FileWatcher) (changed bool) {
	poll := file.Poll(time.Now())
	if poll.Err != nil {
		c.rejected[poll.Source] = poll.Err.Error()
		c.tls.log.Error("tls: reload failed, keeping the current files", "err", poll.Err)
		return false
	}
	if poll.Changed {
		delete(c.rejected, poll.Source)
		c.tls.log.Info("tls: reloaded", "source", poll.Source, "trust_changed", poll.TrustChanged)
	}
	return poll.Changed
}

// applyCertificates makes the TLS layers discard the results of earlier verifications and use the current ticket
// keys. New certificates need no such step, because each handshake reads them from their stores.
func (s *nodeTLS) applyCertificates() {
	if s.serverLayer != nil {
		s.serverLayer.InvalidateTrust()
	}
	for _, layer := range s.listenerLayers() {
		layer.ReloadTicketKeys()
	}
}
