package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as the pages state them for a small deployment.
const (
	recordBytes = 262144
	callBytes   = 2097152
	lengthBytes = 4
	newestPage  = 500
	answerDelay = 4 * time.Millisecond
)

// store is a stand-in of the platform's log: topics with one partition each, whose records all stay.
type store struct {
	record *record
	server *http.Server
	addr   string

	mu      sync.Mutex
	changed chan struct{}
	topics  map[string]*topic
	down    bool
	// refused counts the appends that were over a limit.
	refused int
}

// topic is the records of one topic, and what counts for the appends to it.
type topic struct {
	records  [][]byte
	newest   map[string]keyed
	epoch    int64
	sequence int64
	answers  []appendAnswer
}

// keyed is the newest record of a key.
type keyed struct {
	value  []byte
	offset int
}

// appendAnswer is the first answer to an append with a sequence number.
type appendAnswer struct {
	sequence int64
	body     map[string]any
}

// newStore starts a store on a free port.
func newStore(r *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{record: r, addr: l.Addr().String(), changed: make(chan struct{}), topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.whileUp(s.handleAppend))
	mux.HandleFunc("GET /log-read", s.whileUp(s.handleRead))
	mux.HandleFunc("GET /log-newest", s.whileUp(s.handleNewest))
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// setDown makes the store silent, or ends that. A call that comes while it is silent is not done and gets
// no answer; an answer that would be given while it is silent is lost.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.record.say("the store is down: %v", down)
}

// refusedAppends returns how many appends were refused for their size.
func (s *store) refusedAppends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// whileUp leaves calls unanswered while the store is down.
func (s *store) whileUp(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerDelay)
		if s.isDown() {
			<-r.Context().Done()
			return
		}
		next(w, r)
	}
}

// topic returns a topic, which is made upon its first use. s.mu must be held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

// put adds a record that the operator or a runner writes. Without a value, the key is dropped.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(encode(key, data))
	s.wake()
}

// wake lets the waiting reads look again. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// encode returns a record with a key in the form in which it is sent.
func encode(key string, value []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	out = append(append(out, byte(len(key))), key...)
	return append(out, value...)
}

func (t *topic) add(rec []byte) {
	offset := len(t.records)
	t.records = append(t.records, rec)
	size := int(rec[lengthBytes])
	key, value := string(rec[lengthBytes+1:lengthBytes+1+size]), rec[lengthBytes+1+size:]
	if len(value) == 0 {
		delete(t.newest, key)
		return
	}
	t.newest[key] = keyed{value: value, offset: offset}
}

// split returns the records of a body, or false if one of them is over the limit or cut off.
func split(body []byte) ([][]byte, bool) {
	if len(body) > callBytes {
		return nil, false
	}
	var all [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes+1 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || lengthBytes+size > len(body) {
			return nil, false
		}
		all = append(all, body[:lengthBytes+size:lengthBytes+size])
		body = body[lengthBytes+size:]
	}
	return all, true
}

func number(r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

// answer writes a body as JSON.
func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := split(body)
	if err != nil || !ok {
		s.mu.Lock()
		s.refused++
		n := s.refused
		s.mu.Unlock()
		if n <= 3 || n%100 == 0 {
			s.record.add("store: append %d of %d bytes to %s refused with 400: a record or the call is over the limit", n, len(body), r.URL.Query().Get("topic"))
		}
		answer(w, http.StatusBadRequest, map[string]any{"reason": "size"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if at, given := number(r, "at"); given && int(at) != len(t.records) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	if epoch, given := number(r, "epoch"); given {
		sequence, _ := number(r, "sequence")
		if status, got := t.checkWriter(epoch, sequence); got != nil {
			answer(w, status, got)
			return
		}
	}
	got := map[string]any{"offset": len(t.records), "end": len(t.records) + len(records)}
	for _, rec := range records {
		t.add(rec)
	}
	if _, given := number(r, "epoch"); given {
		t.answers = append(t.answers, appendAnswer{sequence: t.sequence, body: got})
		t.answers = t.answers[max(0, len(t.answers)-5):]
	}
	s.wake()
	answer(w, http.StatusOK, got)
}

// checkWriter checks the epoch and the sequence of an append. It returns an answer if the append is not to
// be done.
func (t *topic) checkWriter(epoch, sequence int64) (int, map[string]any) {
	switch {
	case epoch < t.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	case epoch > t.epoch:
		t.epoch, t.sequence, t.answers = epoch, sequence, nil
		return 0, nil
	}
	for _, a := range t.answers {
		if a.sequence == sequence {
			return http.StatusOK, a.body
		}
	}
	if sequence != t.sequence+1 {
		return http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.sequence + 1}
	}
	t.sequence = sequence
	return 0, nil
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := number(r, "from")
	wait, _ := number(r, "waitMs")
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := len(t.records), s.changed
		found := slices.Concat(t.records[min(int(from), end):]...)
		down := s.down
		s.mu.Unlock()
		if down {
			<-r.Context().Done()
			return
		}
		if len(found) > 0 || wait <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			_, _ = w.Write(append(out, found...))
			return
		}
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	size := 0
	for _, key := range keys {
		if len(items) == newestPage || size > 1<<20 {
			break
		}
		items = append(items, map[string]any{"tlsKey": key, "value": t.newest[key].value, "offset": t.newest[key].offset})
		size += len(t.newest[key].value)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(keys), "end": len(t.records)})
}
