package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

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
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision uint64
}

// store is the platform's store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// commit stores an object, or removes it. The mutex is held.
func (s *store) commit(kind string, stored object, removed bool) object {
	s.revision++
	stored.Metadata.Revision = s.revision
	if stored.Metadata.CreateRevision == 0 {
		stored.Metadata.CreateRevision = s.revision
	}
	if stored.Metadata.Finalizers == nil {
		stored.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if removed {
		delete(s.objects[kind], stored.Metadata.Name)
	} else {
		s.objects[kind][stored.Metadata.Name] = stored
	}
	s.events = append(s.events, event{Object: stored, Removed: removed, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return stored
}

// put is a write of the operator.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stored := s.objects[kind][name]
	stored.Metadata.Name = name
	stored.Spec = data
	s.commit(kind, stored, false)
}

func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	parts := strings.Split(strings.Trim(strings.TrimPrefix(request.URL.Path, "/bulrushchute/objects/"), "/"), "/")
	kind, name, part := parts[0], "", ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if len(parts) > 2 {
		part = parts[2]
	}
	var sent object
	if request.Method == http.MethodPost || request.Method == http.MethodPut {
		if json.NewDecoder(request.Body).Decode(&sent) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := sent.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case request.Method == http.MethodGet && name == "":
		s.list(writer, request, kind)
	case request.Method == http.MethodPost:
		s.write(writer, kind, sent.Metadata.Name, func(stored object, exists bool) (object, bool, int) {
			stored.Metadata.Name, stored.Spec = sent.Metadata.Name, sent.Spec
			return stored, false, ifTrue(exists, http.StatusConflict)
		})
	default:
		s.write(writer, kind, name, func(stored object, exists bool) (object, bool, int) {
			switch {
			case !exists:
				return stored, false, http.StatusNotFound
			case condition != 0 && condition != stored.Metadata.Revision:
				return stored, false, http.StatusConflict
			case request.Method == http.MethodGet:
				return stored, false, http.StatusOK
			case request.Method == http.MethodDelete:
				return stored, true, 0
			case part == "status":
				stored.Status = sent.Status
			default:
				stored.Spec = sent.Spec
			}
			return stored, false, 0
		})
	}
}

func ifTrue(condition bool, status int) int {
	if condition {
		return status
	}
	return 0
}

// write applies a change to one object, unless change returns a status.
func (s *store) write(writer http.ResponseWriter, kind, name string, change func(object, bool) (object, bool, int)) {
	s.mutex.Lock()
	stored, exists := s.objects[kind][name]
	after, removed, status := change(stored, exists)
	if status == 0 {
		stored, status = s.commit(kind, after, removed), http.StatusOK
	}
	s.mutex.Unlock()
	respond(writer, status, stored)
}

func respond(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func (s *store) list(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	if query.Get("watch") != "" {
		s.watch(writer, request, kind)
		return
	}
	s.mutex.Lock()
	items := []object{}
	for _, stored := range s.objects[kind] {
		if stored.Metadata.Name > query.Get("after") {
			items = append(items, stored)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	respond(writer, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			respond(writer, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respond(writer, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}
