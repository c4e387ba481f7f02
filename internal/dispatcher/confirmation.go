package dispatcher

import "time"

// numberIncarnation numbers an incarnation of an upstream that has become known here. It may
// have forgotten the fence of a next holder that has claimed a range unnoticed, so it is used
// only after an answer of the next holder, which would have made its claim known before.
func (d *Dispatcher) numberIncarnation(now time.Time, u *Upstream) {
	d.incarnations++
	d.incarnationOf[u.Name] = d.incarnations
	d.requestConfirmations(now)
}

// requestConfirmations asks the next holders of the ranges that are claimed here for an
// answer, if incarnations have become known since their latest one.
func (d *Dispatcher) requestConfirmations(now time.Time) {
	for _, vm := range d.router.VMs() {
		if d.claims[vm.Name] == nil {
			continue
		}
		peer, ok := d.router.NextHolder(vm.Name, d.config.VM)
		if !ok || !d.linked[peer] || d.isConfirming[peer] || d.confirmed[peer] == d.incarnations {
			continue
		}
		d.isConfirming[peer] = true
		d.lastRequest++
		f := &forward{
			request: d.lastRequest, target: peer, confirms: d.incarnations, sent: true, everSent: true,
			unsentSince: now, deadline: now.Add(queryTimeout),
			query: &Query{Request: d.lastRequest, Kind: Lookup},
		}
		d.forwards[f.request] = f
		query := *f.query
		d.send(peer, Message{Query: &query})
	}
}

func (d *Dispatcher) handleConfirmation(now time.Time, f *forward) {
	delete(d.forwards, f.request)
	d.isConfirming[f.target] = false
	d.confirmed[f.target] = f.confirms
	d.requestConfirmations(now)
	d.processDeferredGrants(now)
}

// expireConfirmation drops a query whose link was lost or that was not answered, so that it is
// asked again.
func (d *Dispatcher) expireConfirmation(now time.Time, f *forward) {
	if now.Before(f.deadline) && f.sent {
		return
	}
	delete(d.forwards, f.request)
	d.isConfirming[f.target] = false
}

// isConfirmed reports whether the incarnation of an upstream was known here before the latest
// answer of the next holder of a range. Without a next holder, or if the upstream does not
// announce when its memory begins, nothing is to be confirmed.
func (d *Dispatcher) isConfirmed(u *Upstream, rangeName string) bool {
	nextHolder, ok := d.router.NextHolder(rangeName, d.config.VM)
	return !ok || u.MemorySince.IsZero() || d.incarnationOf[u.Name] <= d.confirmed[nextHolder]
}
