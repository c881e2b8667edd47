package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings of a small deployment give them (DEPLOY.md, field platform).
const (
	recordBytes = 262144
	callBytes   = 2097152
	answerDelay = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store in the form of a log. It keeps every record.
type store struct {
	mu      sync.Mutex
	topics  map[string]*storeTopic
	changed chan struct{}
	// refused counts the appends that were refused for a record over recordBytes, largest is the size
	// of the largest record that was offered.
	refused, largest int
	firstRefusal     string
	// fault, if set, decides what becomes of a call: "busy", "silent", "slow" or "lost".
	fault func() string
}

// storeTopic is one topic with a single partition.
type storeTopic struct {
	records [][]byte
	newest  map[string]storeRecord
	writers map[string]*storeWriter
}

type storeRecord struct {
	value  []byte
	offset int
}

// storeWriter is what the store knows of one producer.
type storeWriter struct {
	epoch, sequence int64
	answers         map[int64]map[string]any
}

func newStore() *store {
	return &store{topics: map[string]*storeTopic{}, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.withFault(s.serveAppend))
	mux.HandleFunc("GET /log-read", s.withFault(s.serveRead))
	mux.HandleFunc("GET /log-newest", s.withFault(s.serveNewest))
	return mux
}

func (s *store) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := ""
		if s.fault != nil {
			fault = s.fault()
		}
		switch fault {
		case "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "silent":
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case "slow":
			time.Sleep(240 * time.Millisecond)
			next(w, r)
		case "lost":
			next(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

// topic returns a topic, which is made upon its first use. The caller holds s.mu.
func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: map[string]storeRecord{}, writers: map[string]*storeWriter{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record of the platform itself; without a value, the key is dropped.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	record = append(append(record, byte(len(key))), key...)
	s.topic(topic).add(append(record, value...))
	s.wake()
}

// wake ends the waits for new records. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (t *storeTopic) add(record []byte) {
	offset := len(t.records)
	t.records = append(t.records, record)
	key := string(record[5 : 5+int(record[4])])
	value := record[5+len(key):]
	if len(value) == 0 {
		delete(t.newest, key)
		return
	}
	t.newest[key] = storeRecord{value: value, offset: offset}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func numberOf(r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(body) > callBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		size := 0
		if len(rest) >= 4 {
			size = int(binary.BigEndian.Uint32(rest))
		}
		if size < 1 || 4+size > len(rest) || 1+int(rest[4]) > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.largest = max(s.largest, size)
		if size > recordBytes {
			if s.refused == 0 {
				s.firstRefusal = now().Format("15:04:05.000") + " key " + string(rest[5:5+int(rest[4])]) + ", " + strconv.Itoa(size) + " bytes"
			}
			s.refused++
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		records = append(records, rest[:4+size])
		rest = rest[4+size:]
	}
	t := s.topic(r.URL.Query().Get("topic"))
	if at, ok := numberOf(r, "at"); ok && int(at) != len(t.records) {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	var writer *storeWriter
	sequence, _ := numberOf(r, "sequence")
	if epoch, ok := numberOf(r, "epoch"); ok {
		producer := r.URL.Query().Get("producer")
		writer = t.writers[producer]
		if writer == nil {
			writer = &storeWriter{epoch: -1}
			t.writers[producer] = writer
		}
		switch {
		case epoch < writer.epoch:
			answerJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > writer.epoch:
			writer.epoch, writer.answers = epoch, map[int64]map[string]any{}
		case writer.answers[sequence] != nil:
			answerJSON(w, http.StatusOK, writer.answers[sequence])
			return
		case sequence != writer.sequence+1:
			answerJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": writer.sequence + 1})
			return
		}
		writer.sequence = sequence
	}
	answer := map[string]any{"offset": len(t.records), "end": len(t.records) + len(records)}
	for _, record := range records {
		t.add(record)
	}
	if writer != nil {
		writer.answers[sequence] = answer
		delete(writer.answers, sequence-5)
	}
	s.wake()
	answerJSON(w, http.StatusOK, answer)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := numberOf(r, "from")
	wait, _ := numberOf(r, "waitMs")
	maxKB, ok := numberOf(r, "max_kb")
	if !ok {
		maxKB = 1024
	}
	time.Sleep(answerDelay)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := len(t.records), s.changed
		var out []byte
		for i := int(from); i < end && (len(out) == 0 || len(out)+len(t.records[i]) <= int(maxKB)<<10); i++ {
			out = append(out, t.records[i]...)
		}
		s.mu.Unlock()
		if len(out) == 0 && waiting {
			select {
			case <-changed:
			case <-timer.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		header := binary.BigEndian.AppendUint64(nil, uint64(end))
		header = binary.BigEndian.AppendUint64(header, 0)
		_, _ = w.Write(append(header, out...))
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		n := t.newest[key]
		if len(items) == 500 || size+len(n.value) > 1<<20 {
			break
		}
		size += len(n.value)
		items = append(items, map[string]any{"tlsKey": key, "value": n.value, "offset": n.offset})
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(keys), "end": len(t.records)})
}
