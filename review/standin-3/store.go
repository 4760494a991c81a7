package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the metadata of an object in the platform's store.
type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

// object is an object in the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object, as a watch returns it.
type event struct {
	kind    string
	at      uint64
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in of the platform's metadata store. It is linearizable and loses
// nothing.
type store struct {
	mutex    sync.Mutex
	changed  *sync.Cond
	revision uint64
	objects  map[string]map[string]object
	events   []event
	listener net.Listener
}

const objectsPrefix = "/bulrushchute/objects/"

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	s := &store{revision: 1, objects: make(map[string]map[string]object)}
	s.changed = sync.NewCond(&s.mutex)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = listener
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.changed.Broadcast()
		}
	}()
	return s, nil
}

func (s *store) address() string {
	return s.listener.Addr().String()
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.objects[kind][name]
	if !exists {
		current = object{Metadata: metadata{Name: name}}
	}
	current.Spec = data
	s.write(kind, current, !exists)
}

// write stores a changed object. The mutex is held.
func (s *store) write(kind string, changed object, created bool) object {
	s.revision++
	changed.Metadata.Revision = s.revision
	if created {
		changed.Metadata.CreateRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][changed.Metadata.Name] = changed
	s.events = append(s.events, event{kind: kind, at: s.revision, Object: changed})
	s.changed.Broadcast()
	return changed
}

// remove removes an object. The mutex is held.
func (s *store) remove(kind string, removed object) {
	s.revision++
	removed.Metadata.Revision = s.revision
	delete(s.objects[kind], removed.Metadata.Name)
	s.events = append(s.events, event{kind: kind, at: s.revision, Object: removed, Removed: true})
	s.changed.Broadcast()
}

func reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path, found := strings.CutPrefix(request.URL.Path, objectsPrefix)
	if !found {
		http.NotFound(writer, request)
		return
	}
	parts := strings.Split(path, "/")
	kind, name, status := parts[0], "", len(parts) == 3 && parts[2] == "status"
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case request.Method == http.MethodGet && name == "" && request.URL.Query().Has("watch"):
		s.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		s.list(writer, kind)
	case request.Method == http.MethodGet:
		s.get(writer, kind, name)
	default:
		s.change(writer, request, kind, name, status)
	}
}

func (s *store) list(writer http.ResponseWriter, kind string) {
	s.mutex.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, item := range s.objects[kind] {
		items = append(items, item)
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(writer, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) get(writer http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	found, exists := s.objects[kind][name]
	s.mutex.Unlock()
	if !exists {
		reply(writer, http.StatusNotFound, map[string]any{})
		return
	}
	reply(writer, http.StatusOK, found)
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	s.mutex.Lock()
	var events []event
	for {
		for _, e := range s.events {
			if e.kind == kind && e.at > from {
				events = append(events, e)
			}
		}
		if len(events) > 0 || time.Now().After(until) || request.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	revision := s.revision
	s.mutex.Unlock()
	if events == nil {
		events = []event{}
	}
	reply(writer, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
}

func (s *store) change(writer http.ResponseWriter, request *http.Request, kind, name string, status bool) {
	var sent object
	if request.Method != http.MethodDelete {
		if err := json.NewDecoder(request.Body).Decode(&sent); err != nil {
			reply(writer, http.StatusBadRequest, map[string]any{"error": err.Error()})
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if request.Method == http.MethodPost {
		name = sent.Metadata.Name
		if current, exists := s.objects[kind][name]; exists {
			reply(writer, http.StatusConflict, current)
			return
		}
		sent.Metadata.Deleting = false
		reply(writer, http.StatusOK, s.write(kind, sent, true))
		return
	}
	current, exists := s.objects[kind][name]
	if !exists {
		reply(writer, http.StatusNotFound, map[string]any{})
		return
	}
	condition := sent.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	if condition != 0 && condition != current.Metadata.Revision {
		reply(writer, http.StatusConflict, current)
		return
	}
	switch {
	case request.Method == http.MethodDelete:
		s.remove(kind, current)
		reply(writer, http.StatusOK, current)
	case status:
		current.Status = sent.Status
		reply(writer, http.StatusOK, s.write(kind, current, false))
	default:
		current.Spec, current.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		reply(writer, http.StatusOK, s.write(kind, current, false))
	}
}
