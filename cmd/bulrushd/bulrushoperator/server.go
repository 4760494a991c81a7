// Package bulrushoperator serves a node's endpoints for operators and for the
// announcements of its backend server.
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

const readHeaderTimeout = 10 * time.Second

// Node is what the endpoints need of a node.
type Node interface {
	Announce(announcement bulrushnode.Announcement) error
	Status(ctx context.Context) bulrushnode.Status
	Members(ctx context.Context) bulrushnode.MemberList
	Catalogue() bulrushnode.CatalogueEntries
}

// problem is the body of a refused request.
type problem struct {
	Error string `json:"error"`
}

// NewServer returns a server of a node's endpoints.
func NewServer(address string, node Node) (*http.Server, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	api := app.Party("/v1")
	api.Post("/announce", func(ctx iris.Context) { announce(ctx, node) })
	api.Get("/status", func(ctx iris.Context) { writeJSON(ctx, node.Status(ctx.Request().Context())) })
	api.Get("/members", func(ctx iris.Context) { writeJSON(ctx, node.Members(ctx.Request().Context())) })
	api.Get("/catalogue", func(ctx iris.Context) { writeJSON(ctx, node.Catalogue()) })
	app.Get("/debug/vars", iris.FromStd(expvar.Handler()))
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the operator endpoints")
	}
	return &http.Server{Addr: address, Handler: app, ReadHeaderTimeout: readHeaderTimeout}, nil
}

// announce takes an announcement from the backend server on the same
// instance. Others could take the node's work away with a false one.
func announce(ctx iris.Context, node Node) {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, bulrushnode.MaxAnnouncementBytes+1))
	if err != nil {
		refuse(ctx, err)
		return
	}
	announcement, err := bulrushnode.ParseAnnouncement(body)
	if err != nil {
		refuse(ctx, err)
		return
	}
	if err := checkSender(ctx.Request().RemoteAddr, string(announcement.Address)); err != nil {
		refuse(ctx, err)
		return
	}
	if err := node.Announce(announcement); err != nil {
		refuse(ctx, err)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}

func checkSender(remote, announced string) error {
	sender, _, err := net.SplitHostPort(remote)
	if err != nil {
		return errors.Wrap(err, "read the sender's address")
	}
	host, _, err := net.SplitHostPort(announced)
	if err != nil {
		return errors.Wrap(err, "read the announced address")
	}
	if sender != host {
		return errors.Errorf("announcement of %s came from %s", announced, sender)
	}
	return nil
}

func refuse(ctx iris.Context, err error) {
	ctx.StatusCode(http.StatusBadRequest)
	writeJSON(ctx, problem{Error: err.Error()})
}

func writeJSON(ctx iris.Context, value any) {
	// An error here means that the reader has gone.
	_ = ctx.JSON(value)
}
