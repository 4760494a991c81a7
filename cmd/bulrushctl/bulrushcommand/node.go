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

// maxResponseBytes limits the response of a node. 23,000 members take about 6 MB.
const maxResponseBytes = 64 << 20

// NodeStatus is the status that a node reports of itself and of all data centres
// and backend servers that it knows.
type NodeStatus struct {
	Address        string                         `json:"address"`
	ID             bulrushchute.InstanceID        `json:"id"`
	State          string                         `json:"state"`
	DataCentre     bulrushchute.DataCentre        `json:"data_centre"`
	Backend        bulrushnode.Announcement       `json:"backend_server"`
	Load           bulrushchute.Load              `json:"load"`
	DataCentres    []bulrushnode.DataCentreStatus `json:"data_centres"`
	BackendServers []BackendServerRow             `json:"backend_servers"`
}

// BackendServerRow is a backend server in the node's membership view.
type BackendServerRow struct {
	Service    bulrushchute.Service    `json:"service"`
	Version    bulrushchute.Version    `json:"version"`
	DataCentre bulrushchute.DataCentre `json:"data_centre"`
	// Address is the peer address of the node beside the backend server.
	Address bulrushchute.Address `json:"address"`
	State   string               `json:"state"`
	Slots   int                  `json:"slots"`
}

func (c *cli) readNodeStatus(ctx context.Context) (NodeStatus, error) {
	var status bulrushnode.Status
	var members bulrushnode.MemberList
	if err := c.getFromNode(ctx, "/v1/status", &status); err != nil {
		return NodeStatus{}, err
	}
	if err := c.getFromNode(ctx, "/v1/members", &members); err != nil {
		return NodeStatus{}, err
	}
	result := NodeStatus{
		Address: c.nodeAddress, ID: status.Instance.ID, State: status.State, DataCentre: status.Instance.DataCentre,
		Backend: status.Backend, Load: status.Load, DataCentres: status.DataCentres, BackendServers: []BackendServerRow{},
	}
	for _, member := range members.Members {
		result.BackendServers = append(result.BackendServers, BackendServerRow{
			Service: member.Service, Version: member.Version, DataCentre: member.DataCentre,
			Address: member.Address, State: member.State.String(), Slots: member.Slots,
		})
	}
	slices.SortFunc(result.BackendServers, func(a, b BackendServerRow) int { return strings.Compare(a.sortKey(), b.sortKey()) })
	return result, nil
}

func (br BackendServerRow) sortKey() string {
	return fmt.Sprintf("%s %s %s %s", br.Service, br.DataCentre, br.Version, br.Address)
}

// getFromNode decodes the response of an operator endpoint of the node into the
// target.
func (c *cli) getFromNode(ctx context.Context, path string, target any) error {
	if _, _, err := net.SplitHostPort(c.nodeAddress); err != nil {
		return newUsageError("--node", c.nodeAddress, "an address with a port, such as 10.0.0.1:7003")
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.nodeAddress+path, nil)
	if err != nil {
		return newUsageError("--node", c.nodeAddress, "an address with a port, such as 10.0.0.1:7003")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "read the node")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("node %s answered %s with status %d", c.nodeAddress, path, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(target)
	return errors.Wrapf(err, "parse the answer of node %s to %s", c.nodeAddress, path)
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
	for _, row := range ns.BackendServers {
		writeLine(w, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d", orDash(string(row.Service)), orDash(string(row.Version)), row.DataCentre, row.Address, row.State, row.Slots))
	}
}
