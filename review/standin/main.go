// Command standin plays the cases of the review that cannot be put as a day of the
// bench. It stands for the platform, the servers and the clients, and starts the nodes
// as processes. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases are registered by the files that hold them.
var cases = make(map[string]func(f *fleet, trouble bool) (verdict, error))

// maxDuration is the longest time that a case may take.
const maxDuration = 110 * time.Second

// endEarly ends the processes of the fleet at a signal or after maxDuration.
func endEarly(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	f.record.line("could not run: ended early")
	f.close()
	os.Exit(2)
}

func main() {
	os.Exit(play(os.Args))
}

func play(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		return 2
	}
	record, err := newRecord(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go endEarly(f)
	result, err := cases[arguments[1]](f, os.Getenv("TROUBLE") != "0")
	f.close()
	if err != nil {
		record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record.line("result: %s", result.summary)
	fmt.Println(result.summary)
	if result.broken {
		return 1
	}
	return 0
}
