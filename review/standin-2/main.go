// Command standin-2 plays the cases of the second review that are scripts, with small
// stand-ins of clients, servers and the platform's store.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// cases return whether the rule was broken, with or without the disruption.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"slow-reader": slowReader,
	"health-copy": healthCopy,
	"clock-back":  clockBack,
}

// main exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(limit, func() {
		w.note("the case took too long")
		w.close()
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.note("rule broken: %t, error: %v", broken, err)
	if err != nil {
		w.noteLogs()
	}
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
