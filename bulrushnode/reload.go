package bulrushnode

import (
	"k8s.io/klog/v2"
)

// Reload applies changed retry limits. Changes of all other settings, such as
// addresses, the data centre and the store, take effect only after a restart.
func (n *Node) Reload(settings Settings) {
	n.runner.serviceStates.setRetryLimits(retryLimits{ratio: settings.RetryRatio, slack: settings.RetrySlack}, n.board.Read().NodeCount())
	otherSettings := settings
	otherSettings.RetryRatio, otherSettings.RetrySlack = n.settings.RetryRatio, n.settings.RetrySlack
	klog.InfoS("settings reloaded", "retry_ratio", settings.RetryRatio, "retry_slack", settings.RetrySlack,
		"restart_needed", !otherSettings.equal(n.settings))
}
