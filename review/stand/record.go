//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	begin  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{file: f, begin: time.Now()}, nil
}

// add writes one line with the time since the start in seconds.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-14s %s\n", time.Since(r.begin).Seconds(), who, fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken.
func (r *record) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("BROKEN", "%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) brokenRules() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
