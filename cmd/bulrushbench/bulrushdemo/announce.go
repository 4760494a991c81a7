package bulrushdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushnode"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

// announceInterval is the time between two announcements of a stand-in.
const announceInterval = 500 * time.Millisecond

// AnnouncePeriodically announces a backend server to its node until the context
// ends. Failed announcements are repeated at the next interval, since the node
// may start later.
func AnnouncePeriodically(ctx context.Context, backend *bulrushstandin.Backend, config bulrushstandin.Config, operatorAddress string) {
	announcement := bulrushnode.Announcement{
		Service:     bulrushchute.Service(config.Service),
		Version:     bulrushchute.Version(config.Version),
		Address:     bulrushchute.Address(backend.Address()),
		Slots:       config.Slots,
		Connections: config.Connections,
		State:       bulrushnode.BackendServing,
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if startedAt, running := backend.StartedAt(); running {
			announcement.StartedAtMs = bulrushchute.Millis(startedAt.UnixMilli())
			_ = announce(ctx, announcement, operatorAddress)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func announce(ctx context.Context, announcement bulrushnode.Announcement, operatorAddress string) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+operatorAddress+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send announcement")
	}
	return errors.Wrap(response.Body.Close(), "close response to announcement")
}
