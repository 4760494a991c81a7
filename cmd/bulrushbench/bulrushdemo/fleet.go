// Package bulrushdemo runs real nodes against stand-ins on loopback and
// compares what callers were told with what the backend servers recorded.
package bulrushdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushnode"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

const (
	loopback    = "127.0.0.1"
	callTimeout = 2 * time.Second
	// clockSkewMs allows for the clock of one machine being set.
	clockSkewMs  = 100 * bulrushchute.Millisecond
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	stopTimeout  = 30 * time.Second

	// Ports of nodes. Each process starts at another one, so that two runs at
	// once do not meet.
	firstPort     = 10_000
	lastPort      = 20_000
	portsAProcess = 100
)

// InstanceConfig describes one instance: a backend server with its node.
type InstanceConfig struct {
	DataCentre string                `json:"data_centre"`
	Backend    bulrushstandin.Config `json:"backend"`
}

// Instance is a running instance.
type Instance struct {
	Config   InstanceConfig
	Backend  *bulrushstandin.Backend
	Settings bulrushnode.Settings
	command  *exec.Cmd
	logPath  string
	// exited is closed when the process has ended.
	exited chan struct{}
	// silent stops the announcements.
	silent context.CancelFunc
}

// Fleet is the instances and the store of one run.
type Fleet struct {
	Memory  *bulrushstore.Memory
	Handler *bulrushstore.Handler
	Store   *bulrushstore.Client
	// Seeds are the peer addresses that nodes started from now on may join through.
	Seeds   []bulrushchute.Address
	binary  string
	folder  string
	url     string
	server  *http.Server
	tasks   *bulrushtask.Group
	context context.Context
	cancel  context.CancelFunc
	all     []*Instance
	// nextPort is the port to try next.
	nextPort int
}

// NewFleet starts the store stand-in. Nodes run the given binary.
func NewFleet(ctx context.Context, binary string) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "bulrushbench")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder for settings")
	}
	var listening net.ListenConfig
	listener, err := listening.Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		Memory:   bulrushstore.NewMemory(),
		binary:   binary,
		folder:   folder,
		url:      "http://" + listener.Addr().String(),
		tasks:    bulrushtask.NewGroup(nil),
		context:  ctx,
		cancel:   cancel,
		nextPort: firstPort + os.Getpid()*portsAProcess%(lastPort-firstPort),
	}
	f.Handler = bulrushstore.NewHandler(f.Memory, bulrushstore.HandlerSettings{})
	f.server = &http.Server{Handler: f.Handler, ReadHeaderTimeout: callTimeout}
	f.Store = bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: f.url})
	f.tasks.Start(ctx, "store", func(context.Context) error { return f.server.Serve(listener) })
	return f, nil
}

// Start starts a backend server and its node.
func (f *Fleet) Start(config InstanceConfig) (*Instance, error) {
	backend, err := bulrushstandin.Start(f.context, loopback+":0", config.Backend)
	if err != nil {
		return nil, err
	}
	instance := &Instance{Config: config, Backend: backend}
	instance.Settings = bulrushnode.Settings{
		DataCentre:        bulrushchute.DataCentre(config.DataCentre),
		BackendAddress:    bulrushchute.Address(backend.Address()),
		StoreURL:          f.url,
		SeedAddresses:     f.Seeds,
		ClockSkewMs:       clockSkewMs,
		TrustTenantHeader: true,
	}
	if err := f.chooseAddresses(f.context, &instance.Settings); err != nil {
		return nil, err
	}
	f.all = append(f.all, instance)
	if err := f.startNode(instance); err != nil {
		return nil, err
	}
	f.announceRepeatedly(instance)
	return instance, nil
}

// chooseAddresses finds free ports for the node.
func (f *Fleet) chooseAddresses(ctx context.Context, settings *bulrushnode.Settings) error {
	for _, address := range []*bulrushchute.Address{&settings.CallerAddress, &settings.PeerAddress, &settings.OperatorAddress} {
		free, err := f.freePort(ctx)
		if err != nil {
			return err
		}
		*address = free
	}
	return nil
}

// freePort tries one port after the other below the range from which the
// system takes the ports of outgoing connections. A port of that range may be
// taken between this check and the start of the node.
func (f *Fleet) freePort(ctx context.Context) (bulrushchute.Address, error) {
	var listening net.ListenConfig
	for f.nextPort < lastPort {
		address := fmt.Sprintf("%s:%d", loopback, f.nextPort)
		f.nextPort++
		listener, err := listening.Listen(ctx, "tcp", address)
		if err != nil {
			continue
		}
		return bulrushchute.Address(address), errors.Wrap(listener.Close(), "close the port")
	}
	return "", errors.New("no free port")
}

func (f *Fleet) startNode(instance *Instance) error {
	data, err := json.Marshal(instance.Settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	name := fmt.Sprintf("node-%d", len(f.all))
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	instance.logPath = filepath.Join(f.folder, name+".log")
	logFile, err := os.Create(instance.logPath)
	if err != nil {
		return errors.Wrap(err, "create the log file")
	}
	defer func() { _ = logFile.Close() }()
	instance.command = exec.Command(f.binary, "--settings", path, "--v", "1")
	instance.command.Stdout = logFile
	instance.command.Stderr = logFile
	if err := instance.command.Start(); err != nil {
		return errors.Wrap(err, "start node")
	}
	instance.exited = make(chan struct{})
	f.tasks.Start(f.context, name, func(context.Context) error {
		defer close(instance.exited)
		return instance.command.Wait()
	})
	return nil
}

func (f *Fleet) announceRepeatedly(instance *Instance) {
	ctx, cancel := context.WithCancel(f.context)
	instance.silent = cancel
	f.tasks.Start(ctx, "announcements", func(ctx context.Context) error {
		AnnounceUntil(ctx, instance.Backend, instance.Config.Backend, string(instance.Settings.OperatorAddress))
		return nil
	})
}

func (i *Instance) operatorURL(path string) string {
	return "http://" + string(i.Settings.OperatorAddress) + path
}

// Status reads the node's status.
func (i *Instance) Status(ctx context.Context) (bulrushnode.Status, error) {
	var status bulrushnode.Status
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, i.operatorURL("/v1/status"), nil)
	if err != nil {
		return status, errors.Wrap(err, "build status request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, errors.Wrap(err, "read status")
	}
	defer func() { _ = response.Body.Close() }()
	return status, errors.Wrap(json.NewDecoder(response.Body).Decode(&status), "parse status")
}

// WaitReady waits until every instance is ready and knows all others, and
// until every service has a key map that is valid for keys minted now.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range f.all {
		if !reached(ctx, func() bool { return f.ready(ctx, instance) }) {
			return errors.Errorf("node %s is not ready, its log is in %s", instance.Settings.PeerAddress, f.folder)
		}
	}
	return f.waitKeyMaps(ctx)
}

// waitKeyMaps waits for the first key map of each service, which a node makes
// some seconds after it has joined. Keys minted before it have no home.
func (f *Fleet) waitKeyMaps(ctx context.Context) error {
	services := make(map[string]bool)
	for _, instance := range f.all {
		services[instance.Config.Backend.Service] = true
	}
	var failed error
	known := reached(ctx, func() bool {
		maps, _, err := f.Store.List(ctx, bulrushchute.KindKeyMaps)
		failed = err
		return err != nil || len(maps) >= len(services)
	})
	if failed != nil {
		return failed
	}
	if !known {
		return errors.New("a service has no key map")
	}
	// The map reaches all nodes and its first mint time passes meanwhile.
	bulrushtask.Pause(ctx, 3*clockSkewMs.Duration()+time.Second)
	return ctx.Err()
}

// reached asks again and again and reports whether the answer was yes before
// the context ended.
func reached(ctx context.Context, ask func() bool) bool {
	for !ask() {
		bulrushtask.Pause(ctx, readyPoll)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// WaitJoined waits until one instance is ready.
func (f *Fleet) WaitJoined(ctx context.Context, instance *Instance) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	joined := reached(ctx, func() bool {
		status, err := instance.Status(ctx)
		return err == nil && status.State == "ready"
	})
	if !joined {
		return errors.Errorf("node %s has not joined, its log is in %s", instance.Settings.PeerAddress, f.folder)
	}
	return nil
}

func (f *Fleet) ready(ctx context.Context, instance *Instance) bool {
	status, err := instance.Status(ctx)
	return err == nil && status.State == "ready" && status.Members >= len(f.all)
}

// Kill ends the node and its backend server as a crash of the instance does.
func (f *Fleet) Kill(instance *Instance) error {
	instance.silent()
	if err := instance.command.Process.Kill(); err != nil {
		return errors.Wrap(err, "kill node")
	}
	return instance.Backend.Kill()
}

// Signal sends a signal to the node's process.
func (i *Instance) Signal(signal syscall.Signal) error {
	err := i.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return i.ended()
	}
	return errors.Wrap(err, "signal node")
}

// EndedError says that a node had ended by itself.
type EndedError struct {
	Node bulrushchute.Address
	// State is the exit status or the signal that ended it.
	State string
	// Log is the end of the node's log.
	Log string
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("node %s had ended, %s, the end of its log:\n%s", e.Node, e.State, e.Log)
}

// shownLogBytes is how much of a log an EndedError shows.
const shownLogBytes = 4096

func (i *Instance) ended() error {
	<-i.exited
	ended := &EndedError{Node: i.Settings.PeerAddress, State: i.command.ProcessState.String()}
	log, err := os.ReadFile(i.logPath)
	if err != nil {
		log = []byte(err.Error())
	}
	ended.Log = string(log[max(0, len(log)-shownLogBytes):])
	return ended
}

// Leave drains the instance: the node ends when its work is done.
func (f *Fleet) Leave(instance *Instance) error {
	instance.silent()
	return instance.Signal(syscall.SIGTERM)
}

// CallerAddresses returns where callers may send requests.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, instance := range f.all {
		addresses = append(addresses, string(instance.Settings.CallerAddress))
	}
	return addresses
}

// Reports returns the records of all backend servers.
func (f *Fleet) Reports() []bulrushstandin.Report {
	var reports []bulrushstandin.Report
	for _, instance := range f.all {
		reports = append(reports, instance.Backend.Report())
	}
	return reports
}

// Put writes an object into the store, as an operator would.
func (f *Fleet) Put(ctx context.Context, kind bulrushchute.Kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	object := bulrushchute.Object{Kind: kind, Name: name, Value: data}
	current, err := f.Store.Get(ctx, kind, name)
	var missing *bulrushchute.NotFoundError
	if errors.As(err, &missing) {
		_, err = f.Store.Create(ctx, object)
		return err
	}
	if err != nil {
		return err
	}
	_, err = f.Store.Update(ctx, current.WithValue(data))
	return err
}

// RemoveLogs removes the settings and logs of the nodes.
func (f *Fleet) RemoveLogs() error {
	return errors.Wrap(os.RemoveAll(f.folder), "remove logs")
}

// KillAll ends all nodes at once. Those that have ended already are left out.
func (f *Fleet) KillAll() {
	for _, instance := range f.all {
		_ = instance.command.Process.Kill()
	}
}

// Stop ends all nodes and stand-ins that are still running. The logs stay.
func (f *Fleet) Stop() error {
	var first error
	for _, instance := range f.all {
		instance.silent()
		if err := instance.command.Process.Signal(syscall.SIGTERM); err != nil {
			continue
		}
	}
	for _, instance := range f.all {
		if err := instance.WaitExit(); err != nil && first == nil {
			first = err
		}
		_ = instance.Backend.Kill()
	}
	f.cancel()
	_ = f.server.Close()
	f.tasks.Wait()
	return first
}

// WaitExit waits until the node's process has ended.
func (i *Instance) WaitExit() error {
	select {
	case <-i.exited:
		return nil
	case <-time.After(stopTimeout):
		_ = i.command.Process.Kill()
		<-i.exited
		return errors.Errorf("node %s did not stop in %s", i.Settings.PeerAddress, stopTimeout)
	}
}
