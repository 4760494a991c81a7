package bulrushcommand

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

var (
	// logPattern finds klog's time, and the message and keys after the source.
	logPattern = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] "([^"]*)"(.*)`)
	keyPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// logLine is one line about a request.
type logLine struct {
	at      string
	node    string
	message string
	fields  map[string]string
}

func (s *session) newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST_ID [FILE...]",
		Short: "Show a request's way through the logs of several nodes and what ended it",
		Long: "Show a request's way through the logs of several nodes and what ended it. Logs are read from the files, or\n" +
			"from standard input. Calls that a backend server made for the request are shown if their ids begin with its id.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			lines, err := readLogs(s.Stdin, arguments[0], arguments[1:])
			if err != nil {
				return err
			}
			return writeWay(s.Stdout, arguments[0], lines)
		},
	}
}

// readLogs returns the lines about a request in the order of their times.
func readLogs(stdin io.Reader, id string, paths []string) ([]logLine, error) {
	if len(paths) == 0 {
		return sortLines(scanLog(stdin, "", id))
	}
	var all []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := scanLog(file, path, id)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
		all = append(all, lines...)
	}
	return sortLines(all, nil)
}

func sortLines(lines []logLine, err error) ([]logLine, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.at, b.at) })
	return lines, err
}

// scanLog reads one log. What stands before klog's part of a line names the
// node; without it the file does.
func scanLog(log io.Reader, name, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		match := logPattern.FindStringSubmatchIndex(text)
		if match == nil {
			continue
		}
		line := logLine{
			at:      text[match[2]:match[3]],
			node:    strings.TrimSpace(text[:match[0]]),
			message: text[match[4]:match[5]],
			fields:  make(map[string]string),
		}
		for _, pair := range keyPattern.FindAllStringSubmatch(text[match[6]:match[7]], -1) {
			line.fields[pair[1]] = strings.Trim(pair[2], `"`)
		}
		if line.node == "" {
			line.node = name
		}
		request := line.fields["request"]
		if request == id || strings.HasPrefix(request, id+".") {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func writeWay(w io.Writer, id string, lines []logLine) error {
	for _, line := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %s%s\n", line.at, line.node, line.message, detail(id, line)); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", causeOf(id, lines))
	return errors.Wrap(err, "write")
}

// detail shows the keys that a reader needs first.
func detail(id string, line logLine) string {
	var text strings.Builder
	if line.fields["request"] != id {
		text.WriteString(" (nested call)")
	}
	for _, key := range []string{"instance", "server", "reason", "status", "attempt", "elapsed_ms", "in_flight", "limit", "queued", "slowdown", "cold", "skipped"} {
		if value := line.fields[key]; value != "" {
			text.WriteString(" " + key + "=" + value)
		}
	}
	return text.String()
}

// causeOf names the decision that ended the request, in plain words.
func causeOf(id string, lines []logLine) string {
	ended := lastOf(lines, id, "request refused", "request failed", "request answered")
	failed := lastOf(lines, id, "backend server failed a request", "attempt failed")
	switch {
	case len(lines) == 0:
		return "no line names the request: it was answered (1 in 64 of those is logged), or its lines were left out (see skipped and \"log lines dropped\")"
	case ended != nil && ended.message == "request refused":
		return refusalCause(id, lines, *ended)
	case ended != nil && ended.message == "request answered":
		return "none, it was answered with status " + ended.fields["status"]
	case failed != nil && failed.fields["status"] != "0" && failed.fields["status"] != "":
		return serverCause(id, lines, *failed)
	case ended != nil && ended.fields["reason"] == "deadline":
		return deadlineCause(id, lines, failed)
	case failed != nil:
		return "the connection to backend server " + failed.fields["server"] + " ended without a whole answer (" + failed.fields["reason"] + "); the request may have run"
	case ended != nil:
		return "the attempt was lost on its way to " + lastInstance(lines, id) + " (" + ended.fields["reason"] + "); its node's lines are missing"
	default:
		return "unknown: the line of the node that took the request is missing"
	}
}

func lastOf(lines []logLine, id string, messages ...string) *logLine {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].fields["request"] == id && slices.Contains(messages, lines[i].message) {
			return &lines[i]
		}
	}
	return nil
}

func lastInstance(lines []logLine, id string) string {
	if line := lastOf(lines, id, "attempt ended"); line != nil {
		return line.fields["instance"]
	}
	return "an instance that is not named"
}

var refusalCauses = map[string]string{
	"busy":              "no server of the service had room",
	"queue_timeout":     "it waited for queue_ms without getting a slot",
	"slow_for_now":      "the server's machine was held by a neighbour for as long as the request could wait",
	"shed":              "it gave way to more important work",
	"retry_budget":      "a server refused it, and the budget for further attempts was used up",
	"no_backend_server": "no server of the service takes work",
	"node_not_ready":    "the node had just started",
	"deadline":          "too little time was left to run it",
	"leaving":           "the server was leaving",
	"unreachable":       "the server accepted no connection",
}

func refusalCause(id string, lines []logLine, ended logLine) string {
	reason := ended.fields["reason"]
	cause, known := refusalCauses[reason]
	if !known {
		cause = reason
	}
	cause = "not run: " + cause
	if refused := lastOf(lines, id, "attempt refused"); refused != nil {
		cause += fmt.Sprintf(" (in flight %s of %s, %s waiting, slowdown %s, cold %s)", refused.fields["in_flight"],
			refused.fields["limit"], refused.fields["queued"], refused.fields["slowdown"], refused.fields["cold"])
	}
	return cause
}

// serverCause tells a server's own failure from that of a call that it made.
func serverCause(id string, lines []logLine, failed logLine) string {
	for _, line := range lines {
		if line.fields["request"] != id && (line.message == "request refused" || line.message == "request failed") {
			return "backend server " + failed.fields["server"] + " answered " + failed.fields["status"] + " because its call to " +
				line.fields["service"] + " ended: " + line.fields["reason"]
		}
	}
	return "backend server " + failed.fields["server"] + " answered " + failed.fields["status"]
}

func deadlineCause(id string, lines []logLine, failed *logLine) string {
	if failed == nil {
		return "its time ended while it waited for " + lastInstance(lines, id)
	}
	return "its time ended after " + failed.fields["elapsed_ms"] + " ms at backend server " + failed.fields["server"]
}
