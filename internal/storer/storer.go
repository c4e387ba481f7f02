package storer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"slices"
	"strings"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// Storer persists a replica's hard state, log and snapshots.
type Storer struct {
	disk        *Disk
	segment     string
	segmentSize int64
	// carriedBytes is the part of the segment that was written with the last snapshot.
	carriedBytes int64
	// isSegmentNamed is set once the name of the segment is synced.
	isSegmentNamed bool
	// unfinished is set if the snapshot was saved and its segment was not.
	unfinished     *segmentStart
	snapshotIndex  uint64
	hardState      replicator.HardState
	truncatedBytes int64
	appendPending  bool
}

// segmentStart is what a new segment begins with, after the hard state.
type segmentStart struct{ entries []replicator.Entry }

// CorruptError reports a damaged record that is not a torn write at the end of the
// log.
type CorruptError struct {
	File   string
	Offset int64
	Fault  string
}

// Error is part of the error interface.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storer: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Fault)
}

const (
	headerBytes     = 8
	maxRecordBytes  = 256 << 20
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
	identityFile    = "identity"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Open reads a data folder and returns its saved state. A torn record at the end of
// the log is truncated, and files that an interrupted SaveSnapshot has left are removed.
// What is returned is synced: a process that was killed may have written it without a sync,
// and the caller will not write it again.
func Open(disk *Disk) (*Storer, replicator.Saved, error) {
	s := &Storer{disk: disk}
	var saved replicator.Saved
	names, err := disk.List()
	if err != nil {
		return nil, saved, err
	}
	if saved.Snapshot, err = s.readSnapshot(names); err != nil {
		return nil, saved, err
	}
	segments := withPrefix(names, segmentPrefix)
	if i := slices.Index(segments, segmentName(s.snapshotIndex)); i >= 0 {
		// It has all that counts of the older ones.
		segments = segments[i:]
	}
	recovered := recovery{saved: &saved}
	for i, name := range segments {
		if err := s.readSegment(name, i == len(segments)-1, &recovered); err != nil {
			return nil, saved, err
		}
	}
	s.hardState = saved.HardState
	s.segment = segmentName(0)
	if len(segments) > 0 {
		s.segment = segments[len(segments)-1]
		if err := disk.Sync(s.segment); err != nil {
			return nil, saved, fmt.Errorf("storer: syncing the log: %w", err)
		}
	}
	if len(names) > 0 {
		if err := disk.SyncFolder(); err != nil {
			return nil, saved, fmt.Errorf("storer: syncing the data folder: %w", err)
		}
	}
	s.isSegmentNamed = len(segments) > 0
	if s.segment != segmentName(s.snapshotIndex) {
		s.unfinished = &segmentStart{entries: slices.Clone(saved.Entries)}
	}
	// What a failing disk does not remove now is removed with the next snapshot.
	_ = s.removeObsolete()
	return s, saved, nil
}

// GrowthBytes returns the size in bytes of what was appended to the log since the last
// snapshot. It includes entries that were replaced by others.
func (s *Storer) GrowthBytes() int64 { return s.segmentSize - s.carriedBytes }

// TruncatedBytes returns the size in bytes of a torn record that Open truncated.
func (s *Storer) TruncatedBytes() int64 { return s.truncatedBytes }

// LogBytes returns the size in bytes of the log since the latest snapshot.
func (s *Storer) LogBytes() int64 { return s.segmentSize }

// Identity returns the identity of this disk. If it has none yet, create makes one,
// which is saved.
func (s *Storer) Identity(create func() string) (string, error) {
	text, err := s.disk.Read(identityFile)
	if err == nil && len(text) > 0 {
		return string(text), nil
	}
	id := create()
	if err := s.writeAtomically(identityFile, []byte(id)); err != nil {
		return "", err
	}
	return id, nil
}

func withPrefix(names []string, prefix string) []string {
	var list []string
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, temporarySuffix) {
			list = append(list, name)
		}
	}
	return list
}

func segmentName(index uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, index) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// Save appends the hard state and entries and returns when they are synced.
func (s *Storer) Save(hard *replicator.HardState, entries []replicator.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if s.unfinished != nil {
		// In the old segment, entries of this log could not be told from those of a log that
		// the snapshot has replaced.
		if err := s.startSegment(s.unfinished.entries); err != nil {
			return err
		}
	}
	var data []byte
	if hard != nil {
		data = appendRecord(data, encodeHard(hard))
		s.hardState = *hard
	}
	for i := range entries {
		data = appendRecord(data, encodeEntry(&entries[i]))
	}
	if err := s.truncateFailedAppend(); err != nil {
		return err
	}
	s.appendPending = true
	if err := s.disk.Append(s.segment, data); err != nil {
		return fmt.Errorf("storer: appending to the log: %w", err)
	}
	if err := s.disk.Sync(s.segment); err != nil {
		return fmt.Errorf("storer: syncing the log: %w", err)
	}
	if !s.isSegmentNamed {
		if err := s.disk.SyncFolder(); err != nil {
			return fmt.Errorf("storer: syncing the data folder: %w", err)
		}
		s.isSegmentNamed = true
	}
	s.appendPending = false
	s.segmentSize += int64(len(data))
	return nil
}

// truncateFailedAppend removes what a failed Save may have left at the end of the
// segment, so that the Save can be retried.
func (s *Storer) truncateFailedAppend() error {
	if !s.appendPending {
		return nil
	}
	if err := s.disk.Truncate(s.segment, s.segmentSize); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("storer: truncating %s: %w", s.segment, err)
	}
	s.appendPending = false
	return nil
}

// SaveSnapshot writes a snapshot and starts a new segment with the entries following
// it. Older files are removed once what replaces them is synced, so that the disk holds at
// most two snapshots and one segment, or one snapshot and two segments. A SaveSnapshot that
// failed can be retried: it resumes after the snapshot if that is synced.
func (s *Storer) SaveSnapshot(snapshot *replicator.Snapshot, following []replicator.Entry) error {
	if snapshot.Index != s.snapshotIndex {
		record := appendRecord(nil, encodeSnapshot(snapshot))
		if err := s.writeAtomically(snapshotName(snapshot.Index), record); err != nil {
			return err
		}
		s.snapshotIndex = snapshot.Index
	}
	if err := s.removeObsolete(); err != nil {
		return err
	}
	return s.startSegment(following)
}

// startSegment writes the segment that follows the latest snapshot and removes older files.
func (s *Storer) startSegment(following []replicator.Entry) error {
	data := appendRecord(nil, encodeHard(&s.hardState))
	for i := range following {
		data = appendRecord(data, encodeEntry(&following[i]))
	}
	name := segmentName(s.snapshotIndex)
	if err := s.writeAtomically(name, data); err != nil {
		return err
	}
	s.segment, s.segmentSize, s.carriedBytes, s.appendPending = name, int64(len(data)), int64(len(data)), false
	s.isSegmentNamed, s.unfinished = true, nil
	return s.removeObsolete()
}

// writeAtomically writes a file under a temporary name, syncs it and renames it. If that
// fails, the temporary file is removed, since others may need the room.
func (s *Storer) writeAtomically(name string, data []byte) error {
	temporary := name + temporarySuffix
	_ = s.disk.Remove(temporary)
	steps := []func() error{
		func() error { return s.disk.Append(temporary, data) },
		func() error { return s.disk.Sync(temporary) },
		func() error { return s.disk.Rename(temporary, name) },
		s.disk.SyncFolder,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			_ = s.disk.Remove(temporary)
			return fmt.Errorf("storer: writing %s: %w", name, err)
		}
	}
	return nil
}

// removeObsolete removes the files that the newest snapshot and segment replace, and those that
// interrupted writes of others have left.
func (s *Storer) removeObsolete() error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	removed := false
	for _, name := range names {
		isSegment, isSnapshot := strings.HasPrefix(name, segmentPrefix), strings.HasPrefix(name, snapshotPrefix)
		isOld := isSegment && name < s.segment || isSnapshot && name < snapshotName(s.snapshotIndex)
		if isOld || (isSegment || isSnapshot) && strings.HasSuffix(name, temporarySuffix) {
			removed = true
			err = errors.Join(err, s.disk.Remove(name))
		}
	}
	if !removed {
		return err
	}
	return errors.Join(err, s.disk.SyncFolder())
}

func (s *Storer) readSnapshot(names []string) (*replicator.Snapshot, error) {
	snapshots := withPrefix(names, snapshotPrefix)
	if len(snapshots) == 0 {
		return nil, nil
	}
	name := snapshots[len(snapshots)-1]
	data, err := s.disk.Read(name)
	if err != nil {
		return nil, fmt.Errorf("storer: reading %s: %w", name, err)
	}
	body, _, reason := nextRecord(data)
	if reason != "" {
		return nil, &CorruptError{File: name, Fault: reason}
	}
	snapshot, err := decodeSnapshot(body)
	if err != nil {
		return nil, &CorruptError{File: name, Fault: err.Error()}
	}
	s.snapshotIndex = snapshot.Index
	return snapshot, nil
}

// readSegment adds the records of one segment to the saved state.
func (s *Storer) readSegment(name string, isLast bool, recovered *recovery) error {
	data, err := s.disk.Read(name)
	if err != nil {
		return fmt.Errorf("storer: reading %s: %w", name, err)
	}
	offset := int64(0)
	for offset < int64(len(data)) {
		body, size, reason := nextRecord(data[offset:])
		if reason != "" {
			if !isLast || !isTorn(data[offset:]) {
				return &CorruptError{File: name, Offset: offset, Fault: reason}
			}
			s.truncatedBytes = int64(len(data)) - offset
			if err := s.disk.Truncate(name, offset); err != nil {
				return fmt.Errorf("storer: truncating %s: %w", name, err)
			}
			break
		}
		if err := recovered.applyRecord(body); err != nil {
			return &CorruptError{File: name, Offset: offset, Fault: err.Error()}
		}
		offset += size
	}
	s.segmentSize = offset
	return nil
}

// isTorn reports whether a damaged record, by the length in its header, extends to or
// beyond the end of the file, or the file contains only zeros from its header on. A VM
// that crashes while it writes a record leaves either.
func isTorn(rest []byte) bool {
	if len(rest) < headerBytes {
		return true
	}
	size := int64(binary.BigEndian.Uint32(rest))
	return size > maxRecordBytes && isAllZero(rest) || headerBytes+size >= int64(len(rest)) || isAllZero(rest)
}

func isAllZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// appendRecord appends a record: length, CRC and body.
func appendRecord(data, body []byte) []byte {
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(body, castagnoli))
	return append(data, body...)
}

// nextRecord returns the body of the first record and its size including the header,
// or the reason why it is damaged.
func nextRecord(data []byte) (body []byte, size int64, reason string) {
	if len(data) < headerBytes {
		return nil, 0, "truncated record header"
	}
	length := binary.BigEndian.Uint32(data)
	if length == 0 || length > maxRecordBytes {
		return nil, 0, "record length out of range"
	}
	if int64(len(data)) < headerBytes+int64(length) {
		return nil, 0, "truncated record"
	}
	body = data[headerBytes : headerBytes+int64(length)]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0, "CRC mismatch"
	}
	return body, headerBytes + int64(length), ""
}
