package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPath = "/bulrushchute/objects/"

// metadata is that of an object of the platform's store.
type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

func sameJSON(a, b json.RawMessage) bool {
	return bytes.Equal(bytes.TrimSpace(a), bytes.TrimSpace(b))
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator does, whether or not it exists.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.objects[kind][name]
	current.Metadata.Name = name
	current.Spec = data
	return s.save(kind, current).Metadata.Revision
}

// remove deletes an object as the operator does.
func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.drop(kind, s.objects[kind][name])
}

// save stores an object with the next revision. The mutex is held.
func (s *store) save(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o})
	s.notify()
	return o
}

// drop removes an object. The mutex is held.
func (s *store) drop(kind string, o object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o, Removed: true})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path, found := strings.CutPrefix(request.URL.Path, objectsPath)
	if !found {
		http.NotFound(writer, request)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, part, _ := strings.Cut(name, "/")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && query.Get("watch") != "":
		s.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		s.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		s.mutex.Lock()
		o, exists := s.objects[kind][name]
		s.mutex.Unlock()
		answerObject(writer, o, exists, http.StatusOK)
	default:
		s.write(writer, request, kind, name, part)
	}
}

func answerJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func answerObject(writer http.ResponseWriter, o object, exists bool, status int) {
	if !exists {
		answerJSON(writer, http.StatusNotFound, map[string]string{"error": "not found"})
		return
	}
	answerJSON(writer, status, o)
}

func (s *store) list(writer http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answerJSON(writer, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

// watch answers as soon as there is an event after the given revision.
func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for ended := false; ; {
		s.mutex.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || ended {
			answerJSON(writer, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) write(writer http.ResponseWriter, request *http.Request, kind, name, part string) {
	var sent object
	if request.Method != http.MethodDelete {
		if err := json.NewDecoder(request.Body).Decode(&sent); err != nil {
			answerJSON(writer, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
	}
	expected := sent.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	if request.Method == http.MethodPost {
		name, expected = sent.Metadata.Name, 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && exists:
		answerJSON(writer, http.StatusConflict, current)
	case request.Method == http.MethodPost:
		sent.Metadata = metadata{Name: name, Finalizers: sent.Metadata.Finalizers}
		answerJSON(writer, http.StatusOK, s.save(kind, sent))
	case !exists:
		answerObject(writer, current, false, 0)
	case expected != 0 && expected != current.Metadata.Revision:
		answerJSON(writer, http.StatusConflict, current)
	case request.Method == http.MethodDelete:
		s.drop(kind, current)
		answerJSON(writer, http.StatusOK, current)
	default:
		changed := current
		if part == "status" {
			changed.Status = sent.Status
		} else {
			changed.Spec, changed.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		}
		if sameJSON(changed.Spec, current.Spec) && sameJSON(changed.Status, current.Status) {
			answerJSON(writer, http.StatusOK, current)
			return
		}
		answerJSON(writer, http.StatusOK, s.save(kind, changed))
	}
}
