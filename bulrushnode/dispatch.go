package bulrushnode

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushbackend"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// dispatchResult describes how a dispatch to the backend server ended. The
// answer is nil when no whole answer was received.
type dispatchResult struct {
	answer *bulrushchute.Answer
	// mayHaveRun is false only if the backend server certainly did not run the
	// request.
	mayHaveRun bool
	reason     bulrushchute.Reason
	// refusedByServer is set when the backend server itself refused the request.
	refusedByServer bool
	report          bulrushchute.BackendReport
}

// lostConnection reports whether the connection ended before a whole answer, or could
// not be opened.
func (dr dispatchResult) lostConnection() bool {
	return dr.answer == nil && (dr.reason == bulrushchute.ReasonConnectionLost || dr.reason == bulrushchute.ReasonTruncated)
}

// backendClient sends requests to the backend server beside this node.
type backendClient struct {
	client    *bulrushbackend.Client
	protocols protocols
}

// protocols are the HTTP protocols that the node uses with callers and with its
// backend server.
type protocols struct {
	callers bulrushchute.CallerProtocol
	backend bulrushchute.BackendProtocol
}

// answerMemory limits the answers of more than 64 KB that the node reads from its backend
// server or has not passed on to another node yet. Copies made meanwhile come on top.
var answerMemory = bulrushmemory.Limits{MediumBytes: 512 << 10, MediumTotal: 16 << 20, LargeTotal: 2 * bulrushwire.MaxBodyBytes}

func newBackendClient(address bulrushchute.Address, connections int, protocols protocols, memory *bulrushmemory.Budget) *backendClient {
	return &backendClient{protocols: protocols, client: bulrushbackend.NewClient(bulrushbackend.Settings{
		Address:      address,
		Connections:  connections,
		MaxBodyBytes: bulrushwire.MaxBodyBytes,
		Memory:       memory,
		Protocol:     protocols.backend,
	})}
}

func (bc *backendClient) close() {
	bc.client.Close()
}

// dispatch sends one attempt and reads the whole answer.
func (bc *backendClient) dispatch(ctx context.Context, dispatch bulrushchute.Dispatch) dispatchResult {
	answer, err := bc.client.Do(ctx, bc.newRequest(dispatch))
	var dispatchErr *bulrushbackend.Error
	if errors.As(err, &dispatchErr) {
		return dispatchResult{mayHaveRun: dispatchErr.Sent, reason: dispatchErr.Reason}
	}
	if answer.Report.NotRun || answer.Report.Misdirected {
		reason := bulrushchute.ReasonBusy
		if answer.Report.Misdirected {
			reason = bulrushchute.ReasonWrongService
		}
		return dispatchResult{reason: reason, refusedByServer: answer.Report.NotRun, report: answer.Report}
	}
	fields := forwardedFields(answer.Header, bc.protocols.callers.Reserved)
	if dispatch.Attempt.Method == http.MethodHead {
		fields = addContentLength(fields, answer.Header)
	}
	checksummed := bulrushwire.AddChecksum(bulrushchute.Answer{Status: answer.Status, Header: fields, Body: answer.Body})
	return dispatchResult{answer: &checksummed, mayHaveRun: true, report: answer.Report}
}

func (bc *backendClient) newRequest(dispatch bulrushchute.Dispatch) bulrushbackend.Request {
	attempt := dispatch.Attempt
	header := make(http.Header, len(attempt.Header)+8)
	addFields(header, attempt.Header)
	bc.protocols.backend.WriteHeader(header, dispatch)
	host := attempt.Host
	if host == "" {
		host = string(attempt.Service)
	}
	return bulrushbackend.Request{
		Method:     attempt.Method,
		Target:     attempt.Path,
		Host:       host,
		Header:     header,
		Body:       attempt.Body,
		HasBody:    len(attempt.Body) > 0 || !attempt.Idempotent,
		Idempotent: attempt.Idempotent,
		Attempt:    &attempt,
	}
}
