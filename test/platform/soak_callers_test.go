package platform

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Callers of the soak. Pooled callers send at a constant rate, regardless of earlier
// requests. Keep-alive callers send on one connection until the node closes it.
const (
	pooledRate = 60
	// keptPerNode is the number of keep-alive connections per node, and keptPause the longest
	// pause between two requests on one.
	keptPerNode = 3
	keptPause   = 300 * time.Millisecond
	// readyPeriod is the interval of readiness probes.
	readyPeriod = 250 * time.Millisecond
	// A slow upload sends bodyPieces pieces with bodyPause in between.
	bodyPieces = 6
	bodyPause  = 100 * time.Millisecond
	// slowRead is the pause between two reads of a slow download.
	slowRead = 60 * time.Millisecond
)

// callerBehavior is how a keep-alive caller sends and reads.
type callerBehavior int

const (
	normal callerBehavior = iota
	// slowUpload sends the body in pieces.
	slowUpload
	// slowDownload reads the response in small pieces.
	slowDownload
	// disconnects closes the connection in the middle of the response or of the body.
	disconnects
)

var allBehaviors = []callerBehavior{normal, slowUpload, slowDownload, disconnects}

// startCallers starts all callers.
func (s *soak) startCallers() {
	s.startCaller(s.callPooled)
	s.startSimpleCallers()
	for i, c := range s.controls {
		s.startCaller(func() { s.pollReadiness(c) })
		s.startCaller(func() { s.probeKeys(c.node) })
		for j := range keptPerNode {
			s.startCaller(func() { s.sendOnKeptConns(c.node, uint64(i*keptPerNode+j)) })
		}
	}
}

func (s *soak) startCaller(call func()) {
	s.callers.Add(1)
	go func() {
		defer s.callers.Done()
		call()
	}()
}

// isStopping reports whether the callers have to end.
func (s *soak) isStopping() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

func (s *soak) callPooled() {
	random := rand.New(rand.NewPCG(s.options.seed, 0x10ad))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	ticker := time.NewTicker(time.Second / pooledRate)
	defer ticker.Stop()
	for number := 0; !s.isStopping(); number++ {
		<-ticker.C
		n := s.nodes[random.IntN(len(s.nodes))]
		request := s.drawRequest(n, fmt.Sprintf("s%d", number), random)
		s.startCaller(func() { s.recordOutcome(n, request, s.send(client, request)) })
	}
}

// soakRequest is one request of a caller.
type soakRequest struct {
	id, route, model, path string
	behavior               callerBehavior
	sending                time.Duration
}

// drawRequest draws a random request.
func (s *soak) drawRequest(n *node, id string, random *rand.Rand) soakRequest {
	version := s.pickAddedRoute(random)
	switch drawn := random.IntN(6); {
	case drawn < 3:
		return soakRequest{id: id, route: "models", path: "/chat/x", model: fmt.Sprintf("m%d", min(random.IntN(soakModels), random.IntN(soakModels)))}
	case drawn == 3 && version > 0:
		return soakRequest{id: id, route: "added", path: fmt.Sprintf("/v%d/x", version)}
	default:
		return soakRequest{id: id, route: "command", path: "/command/x"}
	}
}

// The tenant of all callers, and its API key.
const (
	soakTenant = "soak"
	soakKey    = "k-soak-2b6d"
)

func (r soakRequest) build(n *node, body io.Reader, length int64) *http.Request {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, n.fleet.ports[1], r.path), body)
	if err != nil {
		panic(err)
	}
	request.Host = "host.example"
	request.ContentLength = length
	request.Header.Set("Request-Id", r.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	request.Header.Set("Api-Key", soakKey)
	// Nodes must not forward what callers set in these header fields.
	request.Header.Set("Tenant", "another")
	request.Header.Set("Hold", "h")
	request.Header.Set("Connection", "Tenant")
	if r.model != "" {
		request.Header.Set("Model", r.model)
		request.Header.Set("Token-Count", "100,20")
		request.Header.Set("Prefix-Hash", "a1:60,"+strconv.FormatUint(uint64(len(r.id)), 16)+"0:40")
	}
	return request
}

// outcome builds the outcome from the response's status and body.
func (r soakRequest) outcome(status int, text []byte, err error) outcome {
	o := outcome{id: r.id, route: r.route, model: r.model, sending: r.sending, status: status, err: err}
	o.refusedAsPoison = status == http.StatusServiceUnavailable && strings.Contains(string(text), poisonBody)
	o.bodyComplete = strings.HasPrefix(string(text), "done by i-")
	if r.model != "" {
		o.bodyComplete = strings.Count(string(text), "data: "+r.model+" "+r.id+"\n") == 5 && strings.Count(string(text), "data: ") == 5
	}
	return o
}

func (s *soak) send(client *http.Client, r soakRequest) func(n *node) outcome {
	return func(n *node) outcome {
		response, err := client.Do(r.build(n, strings.NewReader("body"), 4))
		if err != nil {
			return r.outcome(0, nil, err)
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return r.outcome(response.StatusCode, text, err)
	}
}

// recordOutcome sends one request and records its outcome.
func (s *soak) recordOutcome(n *node, r soakRequest, send func(n *node) outcome) outcome {
	sent := time.Now()
	o := send(n)
	o.node, o.sent, o.done = n.name, sent, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
	return o
}

// keptConn is a keep-alive connection.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialTimeout bounds dialing, and answerTimeout the wait for a response, which a node has to
// send by the deadline.
const (
	dialTimeout   = 2 * time.Second
	answerTimeout = soakDeadline + 5*time.Second
)

// sendOnKeptConns sends requests on one connection until the node closes it, and then opens
// the next.
func (s *soak) sendOnKeptConns(n *node, number uint64) {
	random := rand.New(rand.NewPCG(s.options.seed, 0xcee9+number))
	for sent := 0; !s.isStopping(); {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[1]), dialTimeout)
		if err != nil {
			time.Sleep(keptPause)
			continue
		}
		kept := keptConn{Conn: conn, reader: bufio.NewReader(conn)}
		for isOpen := true; isOpen && !s.isStopping(); sent++ {
			r := s.drawRequest(n, fmt.Sprintf("k%d-%d", number, sent), random)
			r.behavior = allBehaviors[random.IntN(len(allBehaviors))]
			o := s.recordOutcome(n, r, func(n *node) outcome { return kept.exchange(n, r) })
			isOpen = o.err == nil && !o.callerLeft
			time.Sleep(time.Duration(random.Float64() * float64(keptPause)))
		}
		_ = conn.Close()
	}
}

// exchange sends one request on the connection and reads the response.
func (k keptConn) exchange(n *node, r soakRequest) outcome {
	_ = k.SetDeadline(time.Now().Add(answerTimeout))
	body, length := io.Reader(strings.NewReader("body")), int64(4)
	if r.behavior == slowUpload {
		r.sending = bodyPieces * bodyPause
		body, length = &slowBody{pieces: bodyPieces}, int64(bodyPieces*len(bodyPiece))
	}
	request := r.build(n, body, length)
	if err := request.Write(k); err != nil {
		return r.outcome(0, nil, err)
	}
	response, err := http.ReadResponse(k.reader, request)
	if err != nil {
		return r.outcome(0, nil, err)
	}
	defer response.Body.Close()
	if r.behavior == disconnects {
		_, _ = io.ReadFull(response.Body, make([]byte, 1))
		o := r.outcome(response.StatusCode, nil, nil)
		o.callerLeft = true
		return o
	}
	if r.behavior == slowDownload {
		response.Body = struct {
			io.Reader
			io.Closer
		}{slowReader{response.Body}, response.Body}
	}
	text, err := io.ReadAll(response.Body)
	return r.outcome(response.StatusCode, text, err)
}

const bodyPiece = "a piece of a long body "

// slowBody is a request body that is sent slowly.
type slowBody struct{ pieces int }

func (b *slowBody) Read(buffer []byte) (int, error) {
	if b.pieces == 0 {
		return 0, io.EOF
	}
	b.pieces--
	time.Sleep(bodyPause)
	return copy(buffer, bodyPiece), nil
}

// slowReader reads small pieces with pauses.
type slowReader struct{ io.Reader }

func (r slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(slowRead)
	return r.Reader.Read(buffer[:min(len(buffer), 64)])
}

// probe is the result of one readiness probe.
type probe struct {
	at      time.Time
	isReady bool
}

func (s *soak) pollReadiness(c *control) {
	client := &http.Client{Timeout: time.Second}
	for !s.isStopping() {
		at := time.Now()
		response, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", c.ip, s.ports[2]))
		isReady := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		s.mu.Lock()
		s.probes[c.name] = append(s.probes[c.name], probe{at: at, isReady: isReady})
		s.mu.Unlock()
		time.Sleep(readyPeriod)
	}
}
