package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// seconds returns the time since the start of the case.
func (r *record) seconds() float64 {
	return time.Since(r.began).Seconds()
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, values...))
}
