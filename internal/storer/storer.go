package storer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"strings"

	"bronzedrift.example/bronzedrift/internal/replicator"
)

// Storer writes what a replica must not forget.
type Storer struct {
	disk     *Disk
	segment  string
	size     int64
	snapshot uint64
	hard     replicator.HardState
	cut      int64
	dirty    bool
}

// CorruptError is a record that is damaged though more was written after it.
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
	headBytes       = 8
	maxRecordBytes  = 256 << 20
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
	identityFile    = "identity"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Open reads a data folder. It returns what was saved and the number of bytes
// of a torn record that were cut off.
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
	for i, name := range segments {
		if err := s.readSegment(name, i == len(segments)-1, &saved); err != nil {
			return nil, saved, err
		}
	}
	s.hard = saved.Hard
	s.segment = segmentName(0)
	if len(segments) > 0 {
		s.segment = segments[len(segments)-1]
	}
	return s, saved, nil
}

// Cut returns the bytes of a torn record that Open cut off.
func (s *Storer) Cut() int64 { return s.cut }

// Identity returns the identity of this disk, which create makes once.
func (s *Storer) Identity(create func() string) (string, error) {
	text, err := s.disk.Read(identityFile)
	if err == nil && len(text) > 0 {
		return string(text), nil
	}
	id := create()
	if err := s.writeWhole(identityFile, []byte(id)); err != nil {
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
	var data []byte
	if hard != nil {
		data = appendRecord(data, encodeHard(hard))
		s.hard = *hard
	}
	for i := range entries {
		data = appendRecord(data, encodeEntry(&entries[i]))
	}
	isNew := s.size == 0
	if err := s.cutLeftover(); err != nil {
		return err
	}
	s.dirty = true
	if err := s.disk.Append(s.segment, data); err != nil {
		return fmt.Errorf("storer: appending: %w", err)
	}
	if err := s.disk.Sync(s.segment); err != nil {
		return fmt.Errorf("storer: syncing: %w", err)
	}
	s.dirty = false
	s.size += int64(len(data))
	if isNew {
		return s.disk.SyncFolder()
	}
	return nil
}

// cutLeftover cuts what a save that failed may have left at the end, so that
// the save can be repeated.
func (s *Storer) cutLeftover() error {
	if !s.dirty {
		return nil
	}
	if err := s.disk.Truncate(s.segment, s.size); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("storer: cutting %s: %w", s.segment, err)
	}
	s.dirty = false
	return nil
}

// SaveSnapshot writes a snapshot and begins a new segment with the entries after
// it. Older files are removed once both are synced.
func (s *Storer) SaveSnapshot(snapshot *replicator.Snapshot, rest []replicator.Entry) error {
	record := appendRecord(nil, encodeSnapshot(snapshot))
	if err := s.writeWhole(snapshotName(snapshot.Index), record); err != nil {
		return err
	}
	s.snapshot = snapshot.Index
	data := appendRecord(nil, encodeHard(&s.hard))
	for i := range rest {
		data = appendRecord(data, encodeEntry(&rest[i]))
	}
	name := segmentName(snapshot.Index)
	if err := s.writeWhole(name, data); err != nil {
		return err
	}
	s.segment, s.size = name, int64(len(data))
	return s.removeOld()
}

// writeWhole writes a file under another name, syncs it and renames it.
func (s *Storer) writeWhole(name string, data []byte) error {
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
			return fmt.Errorf("storer: writing %s: %w", name, err)
		}
	}
	return nil
}

func (s *Storer) removeOld() error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		old := strings.HasPrefix(name, segmentPrefix) && name < s.segment ||
			strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(s.snapshot)
		if old {
			err = errors.Join(err, s.disk.Remove(name))
		}
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
	body, _, fault := nextRecord(data)
	if fault != "" {
		return nil, &CorruptError{File: name, Fault: fault}
	}
	snapshot, err := decodeSnapshot(body)
	if err != nil {
		return nil, &CorruptError{File: name, Fault: err.Error()}
	}
	s.snapshot = snapshot.Index
	return snapshot, nil
}

// readSegment adds the records of one segment to what was saved.
func (s *Storer) readSegment(name string, isLast bool, saved *replicator.Saved) error {
	data, err := s.disk.Read(name)
	if err != nil {
		return fmt.Errorf("storer: reading %s: %w", name, err)
	}
	offset := int64(0)
	for offset < int64(len(data)) {
		body, size, fault := nextRecord(data[offset:])
		if fault != "" {
			if !isLast || !isTorn(data[offset:]) {
				return &CorruptError{File: name, Offset: offset, Fault: fault}
			}
			s.cut = int64(len(data)) - offset
			if err := s.disk.Truncate(name, offset); err != nil {
				return fmt.Errorf("storer: cutting %s: %w", name, err)
			}
			break
		}
		if err := addRecord(saved, body); err != nil {
			return &CorruptError{File: name, Offset: offset, Fault: err.Error()}
		}
		offset += size
	}
	s.size = offset
	return nil
}

// isTorn reports whether a damaged record reaches the end of the file, as one
// does that was being written when the VM failed.
func isTorn(rest []byte) bool {
	if len(rest) < headBytes {
		return true
	}
	size := int64(binary.BigEndian.Uint32(rest))
	return size > maxRecordBytes && isZero(rest) || headBytes+size >= int64(len(rest)) || isZero(rest)
}

func isZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// appendRecord adds a length, a CRC and a body.
func appendRecord(data, body []byte) []byte {
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(body, castagnoli))
	return append(data, body...)
}

// nextRecord returns the body of the first record and the bytes it takes.
func nextRecord(data []byte) (body []byte, size int64, fault string) {
	if len(data) < headBytes {
		return nil, 0, "the head of the record is cut off"
	}
	length := binary.BigEndian.Uint32(data)
	if length == 0 || length > maxRecordBytes {
		return nil, 0, "the length of the record is out of range"
	}
	if int64(len(data)) < headBytes+int64(length) {
		return nil, 0, "the record is cut off"
	}
	body = data[headBytes : headBytes+int64(length)]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0, "the CRC is wrong"
	}
	return body, headBytes + int64(length), ""
}
