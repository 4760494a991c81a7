package bulrushnode

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// followEras voids the leases when the store was restored from a copy.
func (n *Node) followEras() {
	reporter, ok := n.store.(bulrushchute.EraReporter)
	if !ok {
		return
	}
	reporter.OnEra(func(era uint64) {
		klog.InfoS("store restored from a copy", "era", era)
		n.moves.voidLeases()
		n.usage.storeRestored()
	})
}

// rewriteOutcomes announces the outcomes of moves again that the copy lacks.
func (r *reader) rewriteOutcomes(ctx context.Context) {
	catalogue := r.node.board.Read().Catalogue
	for _, service := range catalogue.Services() {
		move := catalogue.OrderedMove(service)
		if move == nil || move.Outcome == "" {
			continue
		}
		_, err := r.node.store.Create(ctx, bulrushmove.OutcomeEvent(service, *move))
		var exists *bulrushchute.ExistsError
		if err != nil && !errors.As(err, &exists) {
			klog.InfoS("move outcome not written again", "service", service, "error", err)
		}
	}
}
