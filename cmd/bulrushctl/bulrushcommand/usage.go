package bulrushcommand

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushnode"
)

// UsageView is the JSON output of usage.
type UsageView struct {
	// Address is the operator address of the node.
	Address string `json:"address"`
	// Usage is absent if the node does not take part in usage reports.
	Usage *bulrushnode.UsageStatus `json:"usage,omitempty"`
}

func (c *cli) newUsageCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "usage",
		Short: "Show the state of usage reports",
		Long: "Show which node holds the duty to send usage reports, the windows that are settled, acknowledged or missing, and\n" +
			"what the node has counted in the current window. Acknowledged and missing windows are known to the holder only.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			view, err := c.readUsage(command.Context())
			if err != nil {
				return err
			}
			return c.print(view, view.print)
		},
	}
}

func (c *cli) readUsage(ctx context.Context) (UsageView, error) {
	var status bulrushnode.Status
	err := c.getFromNode(ctx, "/v1/status", &status)
	return UsageView{Address: c.nodeAddress, Usage: status.Usage}, err
}

func (uv UsageView) print(w *tabwriter.Writer) {
	if uv.Usage == nil {
		writeLine(w, fmt.Sprintf("NODE %s: usage reports are off", uv.Address))
		return
	}
	usage := *uv.Usage
	writeLine(w, "HOLDER\tADDRESS\tTOKEN\tSETTLED\tENDED\tACKNOWLEDGED\tMISSING")
	writeLine(w, fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s\t%s", orDash(string(usage.Holder)), orDash(string(usage.HolderAddress)), usage.Token,
		formatWindow(usage.SettledWindow), formatTime(usage.SettledEndMs), formatWindow(usage.AcknowledgedWindow), formatMissing(usage)))
	writeLine(w, "")
	if usage.HoldsDuty {
		writeLine(w, fmt.Sprintf("HOLDER: reports sent %d, repeats %d, incomplete windows %d", usage.ReportsSent, usage.RepeatsSent, usage.IncompleteWindows))
	}
	writeLine(w, fmt.Sprintf("NODE %s: messages sent %d, window %d is open", uv.Address, usage.MessagesSent, usage.OpenWindow))
	writeLine(w, "")
	printCounts(w, usage)
}

func printCounts(w *tabwriter.Writer, usage bulrushnode.UsageStatus) {
	writeLine(w, "NODE: TENANT\tREQUESTS")
	tenants := slices.Sorted(maps.Keys(usage.OpenCounts))
	for _, tenant := range tenants {
		writeLine(w, fmt.Sprintf("%s\t%d", tenant, usage.OpenCounts[tenant]))
	}
	if usage.OtherCount > 0 {
		writeLine(w, fmt.Sprintf("(other)\t%d", usage.OtherCount))
	}
}

// formatWindow formats the number of a window, or - if it is not known.
func formatWindow(window bulrushchute.UsageWindow) string {
	if window == 0 {
		return "-"
	}
	return strconv.FormatUint(uint64(window), 10)
}

// formatMissing formats the missing windows, or - if the node does not know them.
func formatMissing(usage bulrushnode.UsageStatus) string {
	if !usage.HoldsDuty {
		return "-"
	}
	if len(usage.MissingWindows) == 0 {
		return "none"
	}
	numbers := make([]string, 0, len(usage.MissingWindows))
	for _, window := range usage.MissingWindows {
		numbers = append(numbers, formatWindow(window))
	}
	return strings.Join(numbers, ", ")
}
