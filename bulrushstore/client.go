package bulrushstore

import (
	"net/http"

	"bulrushchute.example/bulrushchute"
)

// ClientSettings describe a connection to the store.
type ClientSettings struct {
	// BaseURL is the scheme and host, such as http://10.0.0.1:8080.
	BaseURL string
	// Timeout bounds each call but watches.
	Timeout bulrushchute.Millis
	// WatchIdle ends a watch on which nothing came, not even a bookmark.
	WatchIdle bulrushchute.Millis
	// HTTPClient is used for all calls; nil means a new one.
	HTTPClient *http.Client
}
