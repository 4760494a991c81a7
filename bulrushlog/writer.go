// Package bulrushlog keeps logging from blocking the node: lines pass through a
// bounded queue, and each kind of event has a rate limit.
package bulrushlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that can wait to be written.
	maxQueuedLines = 1024
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = 5 * time.Second
)

// Writer passes lines to another writer without blocking. It drops and counts
// lines when the queue is full.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer that queues lines until Run writes them.
func NewWriter() *Writer {
	return &Writer{lines: make(chan []byte, maxQueuedLines)}
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
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-w.lines:
			if _, err := output.Write(line); err != nil {
				return err
			}
		case <-ticker.C:
			reported = w.reportDropped(output, reported)
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
			w.reportDropped(output, reported)
			return nil
		}
	}
}

// reportDropped writes how many lines were dropped beyond those already reported.
// It returns the number reported in total, to be passed to the next call.
func (w *Writer) reportDropped(output io.Writer, reported int64) int64 {
	dropped := w.Dropped()
	if dropped > reported {
		_, _ = fmt.Fprintf(output, "\"log lines dropped\" count=%d\n", dropped-reported)
	}
	return dropped
}
