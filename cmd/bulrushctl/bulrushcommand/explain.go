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

// maxLogLineBytes limits the length of a log line. A longer line makes explain
// fail.
const maxLogLineBytes = 1 << 20

var (
	// klogPattern captures the timestamp of a klog line, the message and the
	// key-value pairs.
	klogPattern  = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] "([^"]*)"(.*)`)
	fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// logLine is one parsed log line about a request or a nested call.
type logLine struct {
	timestamp string
	node      string
	message   string
	fields    map[string]string
}

func (c *cli) newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST_ID [FILE...]",
		Short: "Show a request's way through the logs of several nodes and what ended it",
		Long: "Show a request's way through the logs of several nodes and what ended it. Logs are read from the files, or\n" +
			"from standard input. Calls that a backend server made for the request are shown if their ids begin with its id.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			lines, err := readLogs(c.Stdin, arguments[0], arguments[1:])
			if err != nil {
				return err
			}
			return writeExplanation(c.Stdout, arguments[0], lines)
		},
	}
}

// readLogs returns the log lines about a request and its nested calls, sorted by
// timestamp.
func readLogs(stdin io.Reader, requestID string, paths []string) ([]logLine, error) {
	if len(paths) == 0 {
		return sortByTime(scanLog(stdin, "", requestID))
	}
	var all []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := scanLog(file, path, requestID)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
		all = append(all, lines...)
	}
	return sortByTime(all, nil)
}

// sortByTime sorts the lines that were read and returns them with the error of the
// read.
func sortByTime(lines []logLine, err error) ([]logLine, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.timestamp, b.timestamp) })
	return lines, err
}

// scanLog returns the lines of one log about a request and its nested calls. The
// text before the klog header identifies the node. Lines without such a text get
// defaultNode.
func scanLog(log io.Reader, defaultNode, requestID string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		match := klogPattern.FindStringSubmatchIndex(text)
		if match == nil {
			continue
		}
		line := logLine{
			timestamp: text[match[2]:match[3]],
			node:      strings.TrimSpace(text[:match[0]]),
			message:   text[match[4]:match[5]],
			fields:    make(map[string]string),
		}
		for _, field := range fieldPattern.FindAllStringSubmatch(text[match[6]:match[7]], -1) {
			line.fields[field[1]] = strings.Trim(field[2], `"`)
		}
		if line.node == "" {
			line.node = defaultNode
		}
		request := line.fields["request"]
		if request == requestID || strings.HasPrefix(request, requestID+".") {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func writeExplanation(w io.Writer, requestID string, lines []logLine) error {
	for _, line := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %s%s\n", line.timestamp, line.node, line.message, formatFields(requestID, line)); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", findCause(requestID, lines))
	return errors.Wrap(err, "write")
}

// formatFields formats the fields of a line that help most to explain a request.
func formatFields(requestID string, line logLine) string {
	var text strings.Builder
	if line.fields["request"] != requestID {
		text.WriteString(" (nested call)")
	}
	for _, key := range []string{"instance", "server", "reason", "status", "attempt", "elapsed_ms", "in_flight", "limit", "queued", "slowdown", "cold", "skipped"} {
		if value := line.fields[key]; value != "" {
			text.WriteString(" " + key + "=" + value)
		}
	}
	return text.String()
}

// findCause describes in words what decided how the request ended.
func findCause(requestID string, lines []logLine) string {
	// The entry node logs how the request ended, an admission node how its backend
	// server failed.
	outcome := lastLine(lines, requestID, "request refused", "request failed", "request answered")
	failure := lastLine(lines, requestID, "backend server failed a request", "attempt failed")
	switch {
	case len(lines) == 0:
		return "no line names the request: it was answered (1 in 64 of those is logged), or its lines were left out (see skipped and \"log lines dropped\")"
	case outcome != nil && outcome.message == "request refused":
		return refusalCause(requestID, lines, *outcome)
	case outcome != nil && outcome.message == "request answered":
		return "none, it was answered with status " + outcome.fields["status"]
	case failure != nil && failure.fields["status"] != "0" && failure.fields["status"] != "":
		return backendCause(requestID, lines, *failure)
	case outcome != nil && outcome.fields["reason"] == "deadline":
		return deadlineCause(requestID, lines, failure)
	case failure != nil:
		return "the connection to backend server " + failure.fields["server"] + " ended without a whole answer (" + failure.fields["reason"] + "); the request may have run"
	case outcome != nil:
		return "the attempt was lost on its way to " + lastInstance(lines, requestID) + " (" + outcome.fields["reason"] + "); its node's lines are missing"
	default:
		return "unknown: the line of the node that took the request is missing"
	}
}

// lastLine returns the last line about the request itself, not a nested call, that
// has one of the messages. It returns nil if there is none.
func lastLine(lines []logLine, requestID string, messages ...string) *logLine {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].fields["request"] == requestID && slices.Contains(messages, lines[i].message) {
			return &lines[i]
		}
	}
	return nil
}

// lastInstance returns the ID of the instance to which the last logged attempt was
// sent, or a phrase in its place if no attempt is logged.
func lastInstance(lines []logLine, requestID string) string {
	if line := lastLine(lines, requestID, "attempt ended"); line != nil {
		return line.fields["instance"]
	}
	return "an instance that is not named"
}

var refusalCauses = map[string]string{
	"busy":              "no server of the service had room",
	"queue_timeout":     "it waited for queue_ms without getting a slot",
	"slow_for_now":      "the machines of the servers that were tried were slowed down, and not expected to be fast in time",
	"version_limit":     "the server's version is under trial and has had all requests that it may for now",
	"shed":              "it gave way to more important work",
	"retry_budget":      "a server refused it, and the budget for further attempts was used up",
	"no_backend_server": "no server of the service takes work",
	"node_not_ready":    "the node had just started",
	"deadline":          "too little time was left to run it",
	"leaving":           "the server was leaving",
	"unreachable":       "the server accepted no connection",
}

func refusalCause(requestID string, lines []logLine, outcome logLine) string {
	reason := outcome.fields["reason"]
	cause, known := refusalCauses[reason]
	if !known {
		cause = reason
	}
	cause = "not run: " + cause
	if refusal := lastLine(lines, requestID, "attempt refused"); refusal != nil {
		cause += fmt.Sprintf(" (in flight %s of %s, %s waiting, slowdown %s, cold %s)", refusal.fields["in_flight"],
			refusal.fields["limit"], refusal.fields["queued"], refusal.fields["slowdown"], refusal.fields["cold"])
	}
	return cause
}

// backendCause distinguishes a backend server's own failure from the failure of a
// nested call that it made.
func backendCause(requestID string, lines []logLine, failure logLine) string {
	for _, line := range lines {
		if line.fields["request"] != requestID && (line.message == "request refused" || line.message == "request failed") {
			return "backend server " + failure.fields["server"] + " answered " + failure.fields["status"] + " because its call to " +
				line.fields["service"] + " ended: " + line.fields["reason"]
		}
	}
	return "backend server " + failure.fields["server"] + " answered " + failure.fields["status"]
}

func deadlineCause(requestID string, lines []logLine, failure *logLine) string {
	if failure == nil {
		return "its time ended while it waited for " + lastInstance(lines, requestID)
	}
	return "its time ended after " + failure.fields["elapsed_ms"] + " ms at backend server " + failure.fields["server"]
}
