package collect

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// Options configure the sources and the sampling interval of a Collector.
type Options struct {
	// Platform is the base URL of the platform.
	Platform string
	// Operators are operator addresses of nodes, in addition to those on the
	// machine list.
	Operators []string
	// Books are URLs of books, in addition to those of the machines on the list.
	Books []string
	// Interval is the sampling interval.
	Interval time.Duration
}

const (
	defaultInterval = 250 * time.Millisecond
	callTimeout     = 5 * time.Second
	// statusTimeout is short so that a paused node doesn't delay the sampling of
	// the books.
	statusTimeout = time.Second
	// maxConcurrentReads limits the concurrent requests of one sample.
	maxConcurrentReads = 16
)

// Collector samples its sources until it is stopped. It is safe for concurrent
// use.
type Collector struct {
	options Options
	client  *http.Client

	// journalMutex is held while the journal is read, so that changes are applied
	// in order.
	journalMutex sync.Mutex

	mutex         sync.Mutex
	backends      map[string]string // book URL by back end name
	nodes         map[string]bool   // operator addresses
	books         map[bookKey]check.BookSample
	store         storeHistory
	configSamples []check.ConfigSample
	problems      map[string]Problem
	machines      []objectstore.Machine
}

// bookKey identifies one incarnation of a back end.
type bookKey struct {
	name        fleet.BackendName
	incarnation uint64
}

// New returns a collector that has not read anything yet.
func New(options Options) *Collector {
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	collector := &Collector{
		options:  options,
		client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrentReads}},
		backends: make(map[string]string),
		nodes:    make(map[string]bool),
		books:    make(map[bookKey]check.BookSample),
		store:    newStoreHistory(),
		problems: make(map[string]Problem),
	}
	for _, address := range options.Operators {
		collector.nodes[address] = true
	}
	for _, url := range options.Books {
		collector.backends[url] = url
	}
	return collector
}

// Run samples at each interval until the context is canceled. It calls started
// after the first sample. It returns an error only if the store's journal can't
// be read at the start.
func (c *Collector) Run(ctx context.Context, started func()) error {
	if err := c.readJournal(ctx); err != nil {
		return fmt.Errorf("read the store's journal: %w", err)
	}
	c.sample(ctx, false)
	started()
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.sample(ctx, false)
		}
	}
}

// Finish takes the last sample after the run. Each book read by it is complete.
func (c *Collector) Finish(ctx context.Context) {
	c.sample(ctx, true)
}

// sample reads the journal and the machine list, and then all books and nodes,
// once.
func (c *Collector) sample(ctx context.Context, final bool) {
	if err := c.readJournal(ctx); err != nil {
		c.addProblem(ctx, "the store's journal", err)
	}
	c.readMachines(ctx)
	c.mutex.Lock()
	backends, nodes := maps.Clone(c.backends), maps.Clone(c.nodes)
	c.mutex.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for name, url := range backends {
		group.Go(func() error { c.readBook(ctx, name, url, final); return nil })
	}
	for address := range nodes {
		group.Go(func() error { c.readNode(ctx, address); return nil })
	}
	// The functions never return an error; they record problems themselves.
	_ = group.Wait()
}

// Roles on the machine list.
const (
	roleNode    = "node"
	roleEngine  = "engine"
	roleService = "service"
)

func (c *Collector) readMachines(ctx context.Context) {
	var list objectstore.MachineList
	if err := c.get(ctx, c.options.Platform+"/v1/machines", &list); err != nil {
		c.addProblem(ctx, "the machine list", err)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.machines = list.Machines
	for _, machine := range list.Machines {
		switch machine.Role {
		case roleEngine, roleService:
			c.backends[machine.Name] = "http://" + machine.Address + "/lab/books"
		case roleNode:
			c.nodes[machine.Node.Operator] = true
		}
	}
}

func (c *Collector) readBook(ctx context.Context, name, url string, final bool) {
	var book books.Book
	if err := c.get(ctx, url, &book); err != nil {
		c.addProblem(ctx, "the book of "+name, err)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := bookKey{name: book.Backend.Name, incarnation: book.Incarnation}
	c.books[key] = check.BookSample{Book: book, SampledAt: time.Now(), Final: final}
}

// nodeStatus has the sampled fields of a node's status.
type nodeStatus struct {
	Node          fleet.NodeName `json:"node"`
	ConfigVersion uint64         `json:"configVersion"`
	Members       []fleet.Member `json:"members"`
}

func (c *Collector) readNode(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status nodeStatus
	if err := c.get(ctx, "http://"+address+"/status", &status); err != nil {
		// The node may be down as part of the run. The checks use the samples that
		// were taken.
		return
	}
	sample := check.ConfigSample{At: time.Now(), Node: string(status.Node), Version: status.ConfigVersion}
	for _, member := range status.Members {
		if member.Name == status.Node {
			sample.BootID = member.BootID
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.configSamples = append(c.configSamples, sample)
}

// addProblem counts a failed read, unless it was interrupted by the end of the
// run.
func (c *Collector) addProblem(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		c.Note(what, err)
	}
}

// Note counts a problem of the test setup itself, so that it is reported.
func (c *Collector) Note(what string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previous := c.problems[what]
	c.problems[what] = Problem{Times: previous.Times + 1, Last: err.Error()}
}

// Fill stores the collected data in the evidence.
func (c *Collector) Fill(evidence *check.Evidence) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	evidence.Books = mergeBooks(slices.Collect(maps.Values(c.books)))
	evidence.ConfigSamples = slices.Clone(c.configSamples)
	evidence.Decisions = slices.Clone(c.store.decisions)
	evidence.ConfigChanges = slices.Clone(c.store.changes)
	evidence.MaxReplicas = maps.Clone(c.store.maxReplicas)
}

// Problem counts the failed reads of one source and has the last error.
type Problem struct {
	Times int    `json:"times"`
	Last  string `json:"last"`
}

// Problems returns the problems by source.
func (c *Collector) Problems() map[string]Problem {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.problems)
}

// Machines returns the last machine list read.
func (c *Collector) Machines() []objectstore.Machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.machines)
}

// Objects returns the latest known objects of the store, sorted by kind and name.
func (c *Collector) Objects() []objectstore.Object {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.store.sortedObjects()
}
