package forwarder

import "time"

// path is how and when a message to a holder was sent.
type path struct {
	// isDirect is set if heartbeats of the holder arrived over the direct link, and relay names the
	// third VM otherwise, if one was known.
	isDirect bool
	relay    string
	sentAt   time.Time
}

func (f *Forwarder) pathTo(now time.Time, vm string) path {
	return path{isDirect: f.peers.IsDirect(now, vm), relay: f.peers.Route(now, vm), sentAt: now}
}

// isResendDue reports whether a message may have been lost and can be sent again. A link that is
// replaced has its messages resent (PeerUp), one that is only silent may hold them back, and a third
// VM does not report what it loses.
func (f *Forwarder) isResendDue(now time.Time, vm string, last path, interval time.Duration) bool {
	if f.peers.IsDirect(now, vm) {
		return !last.isDirect
	}
	relay := f.peers.Route(now, vm)
	return relay != "" && (last.isDirect || last.relay != relay || now.Sub(last.sentAt) >= interval)
}
