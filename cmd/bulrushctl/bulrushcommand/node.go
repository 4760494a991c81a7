package bulrushcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushnode"
)

// maxNodeBytes bounds an answer of a node; 23,000 members take about 6 MB.
const maxNodeBytes = 64 << 20

// NodeStatus is what one node reports of itself and of the fleet.
type NodeStatus struct {
	Address     string                         `json:"address"`
	ID          bulrushchute.InstanceID        `json:"id"`
	State       string                         `json:"state"`
	DataCentre  bulrushchute.DataCentre        `json:"data_centre"`
	Backend     bulrushnode.Announcement       `json:"backend_server"`
	Load        bulrushchute.Load              `json:"load"`
	DataCentres []bulrushnode.DataCentreStatus `json:"data_centres"`
	Servers     []ServerRow                    `json:"backend_servers"`
}

// ServerRow is a backend server as the node sees it.
type ServerRow struct {
	Service    bulrushchute.Service    `json:"service"`
	Version    bulrushchute.Version    `json:"version"`
	DataCentre bulrushchute.DataCentre `json:"data_centre"`
	// Address is the peer address of the server's node.
	Address bulrushchute.Address `json:"address"`
	State   string               `json:"state"`
	Slots   int                  `json:"slots"`
}

func (s *session) readNodeStatus(ctx context.Context) (NodeStatus, error) {
	var status bulrushnode.Status
	var members bulrushnode.MemberList
	if err := s.readNode(ctx, "/v1/status", &status); err != nil {
		return NodeStatus{}, err
	}
	if err := s.readNode(ctx, "/v1/members", &members); err != nil {
		return NodeStatus{}, err
	}
	result := NodeStatus{
		Address: s.node, ID: status.Instance.ID, State: status.State, DataCentre: status.Instance.DataCentre,
		Backend: status.Backend, Load: status.Load, DataCentres: status.DataCentres, Servers: []ServerRow{},
	}
	for _, member := range members.Members {
		result.Servers = append(result.Servers, ServerRow{
			Service: member.Service, Version: member.Version, DataCentre: member.DataCentre,
			Address: member.Address, State: member.State.String(), Slots: member.Slots,
		})
	}
	slices.SortFunc(result.Servers, func(a, b ServerRow) int { return strings.Compare(a.sortKey(), b.sortKey()) })
	return result, nil
}

func (sr ServerRow) sortKey() string {
	return fmt.Sprintf("%s %s %s %s", sr.Service, sr.DataCentre, sr.Version, sr.Address)
}

// readNode reads an operator endpoint of the node.
func (s *session) readNode(ctx context.Context, path string, answer any) error {
	if _, _, err := net.SplitHostPort(s.node); err != nil {
		return usage("--node", s.node, "an address with a port, such as 10.0.0.1:7003")
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.node+path, nil)
	if err != nil {
		return usage("--node", s.node, "an address with a port, such as 10.0.0.1:7003")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "read the node")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("node %s answered %s with status %d", s.node, path, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxNodeBytes)).Decode(answer)
	return errors.Wrapf(err, "parse the answer of node %s to %s", s.node, path)
}

func (ns NodeStatus) print(w *tabwriter.Writer) {
	writeLine(w, fmt.Sprintf("NODE %s: %s in %s, in flight %d, limit %d, queued %d, cold %t",
		ns.Address, ns.State, ns.DataCentre, ns.Load.InFlight, ns.Load.Limit, ns.Load.Queued, ns.Load.Cold))
	writeLine(w, "")
	writeLine(w, "NODE: DATA CENTRE\tSTATE\tREACHABLE\tWEIGHT\tMEMBERS")
	for _, row := range ns.DataCentres {
		writeLine(w, fmt.Sprintf("%s\t%s\t%t\t%.2f\t%d", row.DataCentre, row.State, row.Reachable, row.Weight, row.Members))
	}
	writeLine(w, "")
	writeLine(w, "NODE: SERVICE\tVERSION\tDATA CENTRE\tPEER ADDRESS\tSTATE\tSLOTS")
	for _, row := range ns.Servers {
		writeLine(w, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d", orDash(string(row.Service)), orDash(string(row.Version)), row.DataCentre, row.Address, row.State, row.Slots))
	}
}
