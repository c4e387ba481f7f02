// Package storer keeps a replica's log, hard state and snapshots in one data
// folder. Every record has a length and a CRC, and nothing is acknowledged
// before it is synced. A torn record at the end is truncated and reported; a
// corrupt one before the end is an error that names its file and offset.
package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
)

// Disk holds the file operations of one data folder. Appended data is durable only
// once Sync has returned, and a created or renamed file only once SyncFolder has.
// Truncate syncs the file itself.
type Disk struct {
	List       func() ([]string, error)
	Read       func(name string) ([]byte, error)
	Append     func(name string, data []byte) error
	Sync       func(name string) error
	Truncate   func(name string, size int64) error
	Rename     func(from, to string) error
	Remove     func(name string) error
	SyncFolder func() error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// NewFolderDisk returns the Disk of a folder, which is created if it does not exist.
func NewFolderDisk(path string) (*Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("storer: creating the data folder: %w", err)
	}
	file := func(name string) string { return filepath.Join(path, name) }
	return &Disk{
		List:   func() ([]string, error) { return listFiles(path) },
		Read:   func(name string) ([]byte, error) { return os.ReadFile(file(name)) },
		Append: func(name string, data []byte) error { return appendToFile(file(name), data) },
		Sync:   func(name string) error { return syncPath(file(name)) },
		Truncate: func(name string, size int64) error {
			return errors.Join(os.Truncate(file(name), size), syncPath(file(name)))
		},
		Rename:     func(from, to string) error { return os.Rename(file(from), file(to)) },
		Remove:     func(name string) error { return os.Remove(file(name)) },
		SyncFolder: func() error { return syncPath(path) },
	}, nil
}

func listFiles(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("storer: listing the data folder: %w", err)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func appendToFile(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fs.FileMode(fileMode))
	if err != nil {
		return fmt.Errorf("storer: %w", err)
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}

func syncPath(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("storer: %w", err)
	}
	return errors.Join(f.Sync(), f.Close())
}
