// Package bulrushdemo runs node processes with stand-in backend servers on
// loopback and checks the results that callers saw against the records of the
// backend servers.
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
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushnode"
	"bulrushchute.example/bulrushchute/bulrushport"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

const (
	loopback       = "127.0.0.1"
	requestTimeout = 2 * time.Second
	// clockSkewMs is the clock skew that the nodes tolerate. They share the
	// clock of one machine, which may be adjusted during a run.
	clockSkewMs       = 100 * bulrushchute.Millisecond
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 30 * time.Second
)

// InstanceConfig describes one instance: a backend server with its node.
type InstanceConfig struct {
	DataCentre string                `json:"data_centre"`
	Backend    bulrushstandin.Config `json:"backend"`
}

// Instance is a node's process with its stand-in backend server.
type Instance struct {
	Config   InstanceConfig
	Backend  *bulrushstandin.Backend
	Settings bulrushnode.Settings
	command  *exec.Cmd
	logPath  string
	// exited is closed when the node's process has exited.
	exited chan struct{}
	// stopAnnouncing ends the announcements of the backend server.
	stopAnnouncing context.CancelFunc
}

// Fleet holds the instances and the store of one run.
type Fleet struct {
	// MemoryStore is the stand-in for the store, StoreHandler serves it over
	// HTTP, and Store is a client for it.
	MemoryStore  *bulrushstore.Memory
	StoreHandler *bulrushstore.Handler
	Store        *bulrushstore.Client
	// Seeds are the peer addresses through which nodes that start from now on
	// may join.
	Seeds        []bulrushchute.Address
	nodeBinary   string
	dir          string
	storeURL     string
	storeServer  *http.Server
	tasks        *bulrushtask.Group
	context      context.Context
	cancel       context.CancelFunc
	instances    []*Instance
	reservations []*bulrushport.Reservation
}

// NewFleet starts the stand-in for the store. Nodes will run the program at the
// path nodeBinary.
func NewFleet(ctx context.Context, nodeBinary string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "bulrushbench")
	if err != nil {
		return nil, errors.Wrap(err, "create the directory for settings and logs")
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		MemoryStore: bulrushstore.NewMemory(),
		nodeBinary:  nodeBinary,
		dir:         dir,
		storeURL:    "http://" + listener.Addr().String(),
		tasks:       bulrushtask.NewGroup(nil),
		context:     ctx,
		cancel:      cancel,
	}
	f.StoreHandler = bulrushstore.NewHandler(f.MemoryStore, bulrushstore.HandlerSettings{})
	f.storeServer = &http.Server{Handler: f.StoreHandler, ReadHeaderTimeout: requestTimeout}
	f.Store = bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: f.storeURL})
	f.tasks.Start(ctx, "store", func(context.Context) error { return f.storeServer.Serve(listener) })
	return f, nil
}

// Start starts a backend server and its node.
func (f *Fleet) Start(config InstanceConfig) (*Instance, error) {
	backendAddress, err := f.reserveAddress()
	if err != nil {
		return nil, err
	}
	backend, err := bulrushstandin.Start(f.context, string(backendAddress), config.Backend)
	if err != nil {
		return nil, err
	}
	instance := &Instance{Config: config, Backend: backend}
	instance.Settings = bulrushnode.Settings{
		DataCentre:        bulrushchute.DataCentre(config.DataCentre),
		BackendAddress:    bulrushchute.Address(backend.Address()),
		StoreURL:          f.storeURL,
		SeedAddresses:     f.Seeds,
		ClockSkewMs:       clockSkewMs,
		TrustTenantHeader: true,
	}
	if err := f.assignAddresses(&instance.Settings); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, instance)
	if err := f.startNode(instance); err != nil {
		return nil, err
	}
	f.startAnnouncing(instance)
	return instance, nil
}

// assignAddresses sets the addresses on which the node listens.
func (f *Fleet) assignAddresses(settings *bulrushnode.Settings) error {
	for _, address := range []*bulrushchute.Address{&settings.CallerAddress, &settings.PeerAddress, &settings.OperatorAddress} {
		reserved, err := f.reserveAddress()
		if err != nil {
			return err
		}
		*address = reserved
	}
	return nil
}

// reserveAddress returns an address that is kept until Stop, since nodes and
// backend servers that restart need theirs again.
func (f *Fleet) reserveAddress() (bulrushchute.Address, error) {
	reservation, err := bulrushport.Reserve(f.context)
	if err != nil {
		return "", err
	}
	f.reservations = append(f.reservations, reservation)
	return reservation.Address, nil
}

func (f *Fleet) startNode(instance *Instance) error {
	data, err := json.Marshal(instance.Settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	name := fmt.Sprintf("node-%d", len(f.instances))
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	instance.logPath = filepath.Join(f.dir, name+".log")
	logFile, err := os.Create(instance.logPath)
	if err != nil {
		return errors.Wrap(err, "create the log file")
	}
	defer func() { _ = logFile.Close() }()
	instance.command = exec.Command(f.nodeBinary, "--settings", path, "--v", "1")
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

func (f *Fleet) startAnnouncing(instance *Instance) {
	ctx, cancel := context.WithCancel(f.context)
	instance.stopAnnouncing = cancel
	f.tasks.Start(ctx, "announcements", func(ctx context.Context) error {
		AnnouncePeriodically(ctx, instance.Backend, instance.Config.Backend, string(instance.Settings.OperatorAddress))
		return nil
	})
}

func (i *Instance) operatorURL(path string) string {
	return "http://" + string(i.Settings.OperatorAddress) + path
}

// Status reads the node's status.
func (i *Instance) Status(ctx context.Context) (bulrushnode.Status, error) {
	var status bulrushnode.Status
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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

// WaitReady waits until every instance is ready and knows all others, and until
// every service has a key map that is valid for keys minted now.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range f.instances {
		if !pollUntil(ctx, func() bool { return f.isReady(ctx, instance) }) {
			return errors.Errorf("node %s is not ready; its log is in %s", instance.Settings.PeerAddress, f.dir)
		}
	}
	return f.waitForKeyMaps(ctx)
}

// waitForKeyMaps waits for the first key map of each service, which a node
// writes some seconds after it has joined. Keys minted before that map have no
// home.
func (f *Fleet) waitForKeyMaps(ctx context.Context) error {
	services := make(map[string]bool)
	for _, instance := range f.instances {
		services[instance.Config.Backend.Service] = true
	}
	var listErr error
	complete := pollUntil(ctx, func() bool {
		maps, _, err := f.Store.List(ctx, bulrushchute.KindKeyMaps)
		listErr = err
		return err != nil || len(maps) >= len(services)
	})
	if listErr != nil {
		return listErr
	}
	if !complete {
		return errors.New("a service has no key map")
	}
	// Lets the key maps reach all nodes and their first mint time pass.
	bulrushtask.Pause(ctx, 3*clockSkewMs.Duration()+time.Second)
	return ctx.Err()
}

// pollUntil polls a condition and reports whether it became true before the
// context ended.
func pollUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		bulrushtask.Pause(ctx, readyPollInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// WaitJoined waits until one instance is ready. Unlike WaitReady it does not
// wait until the instance knows all others.
func (f *Fleet) WaitJoined(ctx context.Context, instance *Instance) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	joined := pollUntil(ctx, func() bool {
		status, err := instance.Status(ctx)
		return err == nil && status.State == "ready"
	})
	if !joined {
		return errors.Errorf("node %s has not joined; its log is in %s", instance.Settings.PeerAddress, f.dir)
	}
	return nil
}

func (f *Fleet) isReady(ctx context.Context, instance *Instance) bool {
	status, err := instance.Status(ctx)
	return err == nil && status.State == "ready" && status.Members >= len(f.instances)
}

// Kill kills the node and its backend server, as a crash of the instance does.
func (f *Fleet) Kill(instance *Instance) error {
	instance.stopAnnouncing()
	if err := instance.command.Process.Kill(); err != nil {
		return errors.Wrap(err, "kill node")
	}
	return instance.Backend.Kill()
}

// Signal sends a signal to the node's process. It returns a NodeExitedError if
// the process has exited.
func (i *Instance) Signal(signal syscall.Signal) error {
	err := i.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return i.exitError()
	}
	return errors.Wrap(err, "signal node")
}

// PeakMemory returns the largest resident size that the node's process has had so far,
// in bytes. It works on Linux only.
func (i *Instance) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of the node")
	}
	_, after, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if !found || len(fields) == 0 {
		return 0, errors.New("the status of the node's process has no VmHWM")
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10, errors.Wrap(err, "read the memory of the node")
}

// OpenDescriptors returns the number of descriptors that the node's process has open. It
// works on Linux only.
func (i *Instance) OpenDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.command.Process.Pid))
	return len(entries), errors.Wrap(err, "count the descriptors of the node")
}

// NodeExitedError reports that a node's process had already exited when it was
// signalled.
type NodeExitedError struct {
	Node bulrushchute.Address
	// State is the exit status or the signal that killed the process.
	State string
	// Log is the tail of the node's log.
	Log string
}

func (e *NodeExitedError) Error() string {
	return fmt.Sprintf("node %s had exited (%s); tail of its log:\n%s", e.Node, e.State, e.Log)
}

// logTailBytes bounds the part of a log that a NodeExitedError shows.
const logTailBytes = 4096

func (i *Instance) exitError() error {
	<-i.exited
	exitError := &NodeExitedError{Node: i.Settings.PeerAddress, State: i.command.ProcessState.String()}
	log, err := os.ReadFile(i.logPath)
	if err != nil {
		log = []byte(err.Error())
	}
	exitError.Log = string(log[max(0, len(log)-logTailBytes):])
	return exitError
}

// Leave drains the instance: the node exits once its requests have ended.
func (f *Fleet) Leave(instance *Instance) error {
	instance.stopAnnouncing()
	return instance.Signal(syscall.SIGTERM)
}

// CallerAddresses returns the caller addresses of all instances.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, instance := range f.instances {
		addresses = append(addresses, string(instance.Settings.CallerAddress))
	}
	return addresses
}

// Reports returns the records of all backend servers.
func (f *Fleet) Reports() []bulrushstandin.Report {
	var reports []bulrushstandin.Report
	for _, instance := range f.instances {
		reports = append(reports, instance.Backend.Report())
	}
	return reports
}

// Put creates or updates an object in the store, as an operator would.
func (f *Fleet) Put(ctx context.Context, kind bulrushchute.Kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	object := bulrushchute.Object{Kind: kind, Name: name, Value: data}
	current, err := f.Store.Get(ctx, kind, name)
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) {
		_, err = f.Store.Create(ctx, object)
		return err
	}
	if err != nil {
		return err
	}
	_, err = f.Store.Update(ctx, current.WithValue(data))
	return err
}

// RemoveDir removes the directory with the settings and logs of the nodes.
func (f *Fleet) RemoveDir() error {
	return errors.Wrap(os.RemoveAll(f.dir), "remove the directory of settings and logs")
}

// KillAll kills all nodes at once. It skips those that have already exited.
func (f *Fleet) KillAll() {
	for _, instance := range f.instances {
		_ = instance.command.Process.Kill()
	}
}

// Stop drains all nodes that are still running, and then stops the stand-ins.
// It keeps the logs.
func (f *Fleet) Stop() error {
	var firstErr error
	for _, instance := range f.instances {
		instance.stopAnnouncing()
		if err := instance.command.Process.Signal(syscall.SIGTERM); err != nil {
			continue
		}
	}
	for _, instance := range f.instances {
		if err := instance.WaitExit(); err != nil && firstErr == nil {
			firstErr = err
		}
		_ = instance.Backend.Kill()
	}
	f.cancel()
	_ = f.storeServer.Close()
	f.tasks.Wait()
	for _, reservation := range f.reservations {
		if err := reservation.Release(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	f.reservations = nil
	return firstErr
}

// WaitExit waits until the node's process has exited, and kills it after
// stopTimeout.
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
