package bulrushcommand

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute/bulrushnode"
)

// TenantsView is the JSON output of tenants.
type TenantsView struct {
	// Address is the operator address of the node.
	Address string `json:"address"`
	// Routing is absent if no routing table is in force on the node.
	Routing *bulrushnode.RoutingInForce `json:"routing,omitempty"`
}

func (c *cli) newTenantsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "tenants",
		Short: "Show the tenants of the routing table in force",
		Long:  "Show the tenants of the routing table that is in force on a node, with their ranks and numbers of API keys.",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			view, err := c.readTenants(command.Context())
			if err != nil {
				return err
			}
			return c.print(view, view.print)
		},
	}
}

func (c *cli) readTenants(ctx context.Context) (TenantsView, error) {
	var entries bulrushnode.CatalogueEntries
	err := c.getFromNode(ctx, "/v1/catalogue", &entries)
	return TenantsView{Address: c.nodeAddress, Routing: entries.Routing}, err
}

func (tv TenantsView) print(w *tabwriter.Writer) {
	switch {
	case tv.Routing == nil:
		writeLine(w, fmt.Sprintf("NODE %s: no routing table in force", tv.Address))
		return
	case !tv.Routing.RequiresKeys:
		writeLine(w, fmt.Sprintf("NODE %s: routing table %s, no API keys required", tv.Address, orDash(tv.Routing.Label)))
		return
	}
	writeLine(w, fmt.Sprintf("NODE %s: routing table %s, API keys required", tv.Address, orDash(tv.Routing.Label)))
	writeLine(w, "")
	writeLine(w, "TENANT\tRANK\tKEYS")
	for _, tenant := range tv.Routing.Tenants {
		rank := "-"
		if tenant.Rank != nil {
			rank = strconv.Itoa(*tenant.Rank)
		}
		writeLine(w, fmt.Sprintf("%s\t%s\t%d", tenant.Tenant, rank, tenant.Keys))
	}
}
