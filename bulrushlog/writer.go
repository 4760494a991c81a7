// Package bulrushlog keeps logging from holding up the node: lines pass through
// a bounded queue, and each kind of event has a budget.
package bulrushlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 1024
	// summaryEvery is how often lost lines are reported.
	summaryEvery = 5 * time.Second
)

// Writer passes lines to another writer without blocking. Lines that find the
// queue full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer whose lines Run writes.
func NewWriter() *Writer {
	return &Writer{lines: make(chan []byte, queueLines)}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes lines until the context ends and the queue is empty.
func (w *Writer) Run(ctx context.Context, output io.Writer) error {
	ticker := time.NewTicker(summaryEvery)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-w.lines:
			if _, err := output.Write(line); err != nil {
				return err
			}
		case <-ticker.C:
			reported = w.summarise(output, reported)
		case <-ctx.Done():
			return w.flush(output, reported)
		}
	}
}

func (w *Writer) flush(output io.Writer, reported int64) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := output.Write(line); err != nil {
				return err
			}
		default:
			w.summarise(output, reported)
			return nil
		}
	}
}

// summarise tells how many lines were dropped since the last summary.
func (w *Writer) summarise(output io.Writer, reported int64) int64 {
	dropped := w.Dropped()
	if dropped > reported {
		_, _ = fmt.Fprintf(output, "\"log lines dropped\" count=%d\n", dropped-reported)
	}
	return dropped
}
