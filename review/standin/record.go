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

const legend = `Each line begins with the seconds since the start.
N NUMBER KIND STATUS MS SERVER: a client of node N sent attempt NUMBER MS before; it ended with
STATUS (0: none), with the signature of SERVER, if there is one.
SERVER NUMBER runs SERVICE: SERVER begins to work on attempt NUMBER, which has SERVICE as
X-Caller-Service.

`

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	_, err = file.WriteString(legend)
	return &record{file: file, began: time.Now()}, err
}

// seconds returns the time since the start of the case.
func (r *record) seconds() float64 {
	return time.Since(r.began).Seconds()
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%.3f %s\n", r.seconds(), fmt.Sprintf(format, values...))
}
