// Package bulrushusage counts the requests of each tenant in windows of the wall
// clock, adds the counts up over all nodes, and reports them to the platform.
//
// Counter counts at one node. Collector is one node's part in the tree in which
// counts are added up: nodes send to the collector of their group, groups to the
// collector of their data centre, and data centres to the node that holds the
// duty to report. Neither has I/O or goroutines; the caller passes in the time
// and sends the messages.
package bulrushusage
