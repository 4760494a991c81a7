// Package bulrushoperator serves a node's HTTP endpoints for operators and for
// the announcements of its backend server.
package bulrushoperator

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute/bulrushnode"
)

// Limits on a request: the time for its header, the time for all of it, and the size of its
// header.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 20 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Node is the part of a node that the endpoints use.
type Node interface {
	Announce(announcement bulrushnode.Announcement) error
	Status(ctx context.Context) bulrushnode.Status
	Members(ctx context.Context) bulrushnode.MemberList
	Catalogue() bulrushnode.CatalogueEntries
}

// errorBody is the body of the response to a rejected request.
type errorBody struct {
	Error string `json:"error"`
}

// NewServer returns the server of a node's endpoints.
func NewServer(address string, node Node) (*http.Server, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	api := app.Party("/v1")
	api.Post("/announce", func(ctx iris.Context) { handleAnnounce(ctx, node) })
	api.Get("/status", func(ctx iris.Context) { writeJSON(ctx, node.Status(ctx.Request().Context())) })
	api.Get("/members", func(ctx iris.Context) { writeJSON(ctx, node.Members(ctx.Request().Context())) })
	api.Get("/catalogue", func(ctx iris.Context) { writeJSON(ctx, node.Catalogue()) })
	app.Get("/debug/vars", iris.FromStd(expvar.Handler()))
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the operator endpoints")
	}
	return &http.Server{
		Addr: address, Handler: app,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, nil
}

// handleAnnounce handles an announcement of the backend server on the same
// instance. It must come from the host that it announces, since another host
// could divert the node's requests with a false announcement.
func handleAnnounce(ctx iris.Context, node Node) {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, bulrushnode.MaxAnnouncementBytes+1))
	if err != nil {
		writeError(ctx, err)
		return
	}
	announcement, err := bulrushnode.ParseAnnouncement(body)
	if err != nil {
		writeError(ctx, err)
		return
	}
	if err := checkSameHost(ctx.Request().RemoteAddr, string(announcement.Address)); err != nil {
		writeError(ctx, err)
		return
	}
	if err := node.Announce(announcement); err != nil {
		writeError(ctx, err)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}

func checkSameHost(remoteAddr, announcedAddr string) error {
	senderHost, _, err := net.SplitHostPort(remoteAddr)
	if err != nil {
		return errors.Wrap(err, "read the sender's address")
	}
	announcedHost, _, err := net.SplitHostPort(announcedAddr)
	if err != nil {
		return errors.Wrap(err, "read the announced address")
	}
	if senderHost != announcedHost {
		return errors.Errorf("announcement of %s came from %s", announcedAddr, senderHost)
	}
	return nil
}

func writeError(ctx iris.Context, err error) {
	ctx.StatusCode(http.StatusBadRequest)
	writeJSON(ctx, errorBody{Error: err.Error()})
}

func writeJSON(ctx iris.Context, value any) {
	// An error here means that the client has disconnected.
	_ = ctx.JSON(value)
}
