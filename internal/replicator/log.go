package replicator

// log holds the entries after the latest snapshot. firstIndex is the index that follows
// the snapshot's, even while entries is empty; prevTerm is the term of the snapshot's last
// entry.
type log struct {
	firstIndex uint64
	prevTerm   uint64
	entries    []Entry
}

func (l *log) lastIndex() uint64 {
	return l.firstIndex + uint64(len(l.entries)) - 1
}

func (l *log) lastTerm() uint64 {
	return l.term(l.lastIndex())
}

// term returns the term of an entry, or zero if the log does not know it.
func (l *log) term(index uint64) uint64 {
	switch {
	case index+1 == l.firstIndex:
		return l.prevTerm
	case index < l.firstIndex || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.firstIndex].Term
}

func (l *log) entryAt(index uint64) Entry {
	return l.entries[index-l.firstIndex]
}

func (l *log) entriesFrom(index uint64) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	return append([]Entry(nil), l.entries[max(index, l.firstIndex)-l.firstIndex:]...)
}

// batchFrom returns the entries from an index on that fit in one Append, at least one if the
// log holds it.
func (l *log) batchFrom(index uint64) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.firstIndex:]
	n, size := 0, 0
	for n < min(len(rest), maxAppendEntries) {
		size += len(rest[n].Payload)
		if n > 0 && size > maxAppendBytes {
			break
		}
		n++
	}
	return append([]Entry(nil), rest[:n]...)
}

// truncateAndAppend appends entries, after discarding all existing ones from the
// first new index on.
func (l *log) truncateAndAppend(entries []Entry) {
	l.entries = append(l.entries[:entries[0].Index-l.firstIndex:entries[0].Index-l.firstIndex], entries...)
}

// discardThrough discards the entries up to index, which a snapshot covers.
func (l *log) discardThrough(index, term uint64) {
	if index > l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[index+1-l.firstIndex:]...)
	}
	l.firstIndex, l.prevTerm = index+1, term
}

// EntriesAfter returns the entries after an index.
func (r *Replicator) EntriesAfter(index uint64) []Entry {
	return r.log.entriesFrom(index + 1)
}

// HasMembers reports whether the replica knows the members of a group.
func (r *Replicator) HasMembers() bool {
	return len(r.members) > 0
}

// LastIndex returns the index of the last entry of the log.
func (r *Replicator) LastIndex() uint64 {
	return r.log.lastIndex()
}
