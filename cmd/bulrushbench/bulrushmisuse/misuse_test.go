package bulrushmisuse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushdemo"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

const (
	// crowdTime is how long the crowd sends, and holds what it has sent.
	crowdTime = 6 * time.Second
	// reconnectPause is the pause of a caller whose connection was closed.
	reconnectPause = 100 * time.Millisecond
	largeHead      = 1000 << 10
	// allowedHead is a little less than the limit on heads that deployments state.
	allowedHead = 15 << 10
	largeBody   = 6 << 20
)

// crowd is a number of callers that behave alike.
type crowd struct {
	callers int
	// write sends to a node and returns when the caller has sent what it wants to.
	write func(socket net.Conn, service string) error
}

// run lets the crowd use a node. A caller whose connection ends opens another one.
func (c crowd) run(node *bulrushdemo.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var callers sync.WaitGroup
	for number := range c.callers {
		service := []string{viewService, ledgerService}[number%2]
		callers.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, node, service)
				time.Sleep(reconnectPause)
			}
		})
	}
	callers.Wait()
}

// connect sends on one connection, and reads until it ends.
func (c crowd) connect(ctx context.Context, node *bulrushdemo.Instance, service string) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", string(node.Settings.CallerAddress))
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer func() {
		stop()
		_ = socket.Close()
	}()
	go func() { _ = c.write(socket, service) }()
	_, _ = io.Copy(io.Discard, socket)
}

// requestStart returns the request line and the headers that a request needs.
func requestStart(method, service string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: a\r\nBulrush-Service: %s\r\n%s: %s\r\n", method, uuid.NewString(), service, bulrushstandin.HeaderRequestID, uuid.NewString())
}

func write(socket net.Conn, parts ...string) error {
	for _, part := range parts {
		if _, err := io.WriteString(socket, part); err != nil {
			return err
		}
	}
	return nil
}

// shortLines returns header lines with names of one letter.
func shortLines(size int) string {
	return strings.Repeat("a:\r\n", size/4)
}

// namedLines returns header lines that have a name each.
func namedLines(size int) string {
	var lines strings.Builder
	for number := 0; lines.Len() < size; number++ {
		lines.WriteString("h" + strconv.Itoa(number) + ":\r\n")
	}
	return lines.String()
}

// pipelined returns requests without bodies, to be sent at once.
func pipelined(service string, count int, headers string) string {
	var requests strings.Builder
	for range count {
		requests.WriteString(requestStart("GET", service) + headers + "\r\n")
	}
	return requests.String()
}

func bodyStart(service, framing string) string {
	return requestStart("PUT", service) + framing + "\r\n\r\n"
}

// testCrowd checks what a crowd leaves of the nodes.
func testCrowd(t *testing.T, c crowd) {
	fleet := newTestFleet(t, nodeBinary)
	descriptors := fleet.watchDescriptors()
	c.run(fleet.crowded())
	fleet.checkOrdinaryRequests()
	fleet.checkNodes(descriptors(), maxNodeDescriptors)
}

// Guards against a parsed header that is much larger than the bytes that were sent.
func TestShortHeaderLines(t *testing.T) {
	lines := shortLines(largeHead)
	testCrowd(t, crowd{30, func(socket net.Conn, service string) error {
		return write(socket, requestStart("GET", service), lines, "\r\n")
	}})
}

// Guards against a parsed header with an entry for each of many lines.
func TestNamedHeaderLines(t *testing.T) {
	lines := namedLines(largeHead)
	testCrowd(t, crowd{30, func(socket net.Conn, service string) error {
		return write(socket, requestStart("GET", service), lines, "\r\n")
	}})
}

// Guards against heads that are parsed while they arrive and held until they end.
func TestHeadsJustShortOfTheirEnd(t *testing.T) {
	lines := namedLines(largeHead)
	testCrowd(t, crowd{30, func(socket net.Conn, service string) error {
		return write(socket, requestStart("GET", service), lines)
	}})
}

// Guards against heads over the limit that are held before they are rejected.
func TestHeadsWithoutEnd(t *testing.T) {
	lines := shortLines(60 << 10)
	testCrowd(t, crowd{30, func(socket net.Conn, service string) error {
		err := write(socket, requestStart("GET", service))
		for err == nil {
			err = write(socket, lines)
		}
		return err
	}})
}

// Guards against requests that are read ahead without regard to the size of their heads.
func TestPipelinedLongHeads(t *testing.T) {
	lines := shortLines(60 << 10)
	testCrowd(t, crowd{30, func(socket net.Conn, service string) error {
		return write(socket, pipelined(service, 16, lines))
	}})
}

// Guards against the sum of heads that are legal each.
func TestPipelinedHeadsWithinTheLimit(t *testing.T) {
	lines := shortLines(allowedHead)
	testCrowd(t, crowd{100, func(socket net.Conn, service string) error {
		return write(socket, pipelined(service, 16, lines))
	}})
}

// Guards against the sum of legal heads that are incomplete.
func TestHeadsWithinTheLimitJustShortOfTheirEnd(t *testing.T) {
	lines := shortLines(allowedHead)
	testCrowd(t, crowd{1000, func(socket net.Conn, service string) error {
		return write(socket, requestStart("GET", service), lines)
	}})
}

// Guards against empty lines that are read for ever in search of a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	lines := strings.Repeat("\r\n", 32<<10)
	testCrowd(t, crowd{30, func(socket net.Conn, _ string) error {
		for {
			if err := write(socket, lines); err != nil {
				return err
			}
		}
	}})
}

// Guards against empty lines that are read for ever in search of a second request.
func TestEmptyLinesAfterARequest(t *testing.T) {
	lines := strings.Repeat("\r\n", 32<<10)
	testCrowd(t, crowd{30, func(socket net.Conn, service string) error {
		err := write(socket, pipelined(service, 1, ""))
		for err == nil {
			err = write(socket, lines)
		}
		return err
	}})
}

// Guards against the sum of legal bodies.
func TestWholeBodies(t *testing.T) {
	body := strings.Repeat("x", largeBody)
	testCrowd(t, crowd{30, func(socket net.Conn, service string) error {
		return write(socket, bodyStart(service, "Content-Length: "+strconv.Itoa(len(body))), body)
	}})
}

// Guards against the sum of legal bodies that never end.
func TestBodiesJustShortOfTheirEnd(t *testing.T) {
	body := strings.Repeat("x", largeBody)
	testCrowd(t, crowd{60, func(socket net.Conn, service string) error {
		return write(socket, bodyStart(service, "Content-Length: "+strconv.Itoa(len(body))), body[1:])
	}})
}

// Guards against bodies of unknown size that never end.
func TestBodiesInSmallChunksWithoutEnd(t *testing.T) {
	chunks := strings.Repeat("8\r\nxxxxxxxx\r\n", largeBody/8)
	testCrowd(t, crowd{60, func(socket net.Conn, service string) error {
		return write(socket, bodyStart(service, "Transfer-Encoding: chunked"), chunks)
	}})
}

// Guards against many connections that stay open with the first byte of a request.
func TestSilentConnections(t *testing.T) {
	testCrowd(t, crowd{600, func(socket net.Conn, _ string) error {
		return write(socket, "G")
	}})
}

// Guards against a node that serves no new caller because connections that send nothing
// have taken all of its descriptors.
func TestSilentConnectionsLeaveDescriptors(t *testing.T) {
	const limit = 300
	const connections = 400
	fleet := newTestFleet(t, withDescriptorLimit(t, limit))
	descriptors := fleet.watchDescriptors()
	for range connections {
		socket, err := net.Dial("tcp", string(fleet.crowded().Settings.CallerAddress))
		if err != nil {
			// The node may refuse what it has no room for.
			continue
		}
		defer func() { _ = socket.Close() }()
	}
	fleet.checkOrdinaryRequests()
	fleet.checkNodes(descriptors(), limit)
}

// Guards against limits that a single request meets although the deployments' limits, 64 MiB
// of body, permit it.
func TestLargeBodyWithinTheLimits(t *testing.T) {
	cases := map[string]int{"20 MB": 20 << 20, "60 MB": 60 << 20}
	for name, size := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t, nodeBinary)
			descriptors := fleet.watchDescriptors()
			body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
			for _, service := range []string{viewService, ledgerService} {
				if result := request(fleet.crowded(), service, body, 2*requestTimeout); result != "200" {
					t.Errorf("%s: %.200s", service, result)
				}
			}
			fleet.checkOrdinaryRequests()
			fleet.checkNodes(descriptors(), maxNodeDescriptors)
		})
	}
}
