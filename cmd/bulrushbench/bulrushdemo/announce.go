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

// announceEvery is how often a stand-in repeats its announcement.
const announceEvery = 500 * time.Millisecond

// AnnounceUntil announces a backend server to its node until the context
// ends. Failed announcements are repeated, since a node may start later.
func AnnounceUntil(ctx context.Context, backend *bulrushstandin.Backend, config bulrushstandin.Config, operator string) {
	announcement := bulrushnode.Announcement{
		Service:     bulrushchute.Service(config.Service),
		Version:     bulrushchute.Version(config.Version),
		Address:     bulrushchute.Address(backend.Address()),
		Slots:       config.Slots,
		Connections: config.Connections,
		State:       bulrushnode.BackendServing,
		StartedAtMs: bulrushchute.WallClock{}.Now(),
	}
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		_ = announce(ctx, announcement, operator)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func announce(ctx context.Context, announcement bulrushnode.Announcement, operator string) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+operator+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return errors.Wrap(response.Body.Close(), "announce")
}
