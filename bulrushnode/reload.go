package bulrushnode

import (
	"k8s.io/klog/v2"
)

// Reload puts changed settings in force. Addresses, the data centre and the
// store stay as they were until the process starts again.
func (n *Node) Reload(settings Settings) {
	n.runner.serviceStates.setRetryLimits(retryLimits{ratio: settings.RetryRatio, slack: settings.RetrySlack}, n.board.Read().NodeCount())
	fixed := settings
	fixed.RetryRatio, fixed.RetrySlack = n.settings.RetryRatio, n.settings.RetrySlack
	klog.InfoS("settings reloaded", "retry_ratio", settings.RetryRatio, "retry_slack", settings.RetrySlack,
		"restart_needed", !fixed.equal(n.settings))
}
