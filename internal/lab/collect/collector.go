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

// Options say where to gather from.
type Options struct {
	// Platform is the base URL of the platform.
	Platform string
	// Operators are operators' addresses of nodes, beside those listed.
	Operators []string
	// Books are further URLs of books beside those of the listed machines.
	Books []string
	// Interval is the time between two samples.
	Interval time.Duration
}

const (
	defaultInterval = 250 * time.Millisecond
	callTimeout     = 5 * time.Second
	// statusTimeout is short, so that a paused node does not hold up the
	// sampling of the books.
	statusTimeout = time.Second
	// samplers bounds the calls under way at one time.
	samplers = 16
)

// Collector gathers until it is stopped. Its methods may be called from any
// goroutine.
type Collector struct {
	options Options
	client  *http.Client

	// journal is held while the journal is read, so that changes are taken in
	// their order.
	journal sync.Mutex

	mutex    sync.Mutex
	backends map[string]string // book URL by back end name
	nodes    map[string]bool   // operators' addresses
	books    map[bookKey]check.BookSample
	store    storeHistory
	samples  []check.ConfigSample
	problems map[string]Problem
	machines []objectstore.Machine
}

type bookKey struct {
	name        fleet.BackendName
	incarnation uint64
}

// New returns a collector that has gathered nothing.
func New(options Options) *Collector {
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	collector := &Collector{
		options:  options,
		client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: samplers}},
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

// Run gathers until the context ends. It returns an error only if the store's
// journal cannot be read at the start.
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

// Finish takes the last sample, in which each book that can be read is whole.
func (c *Collector) Finish(ctx context.Context) {
	c.sample(ctx, true)
}

// sample reads the journal, the machine list and then all books and nodes once.
func (c *Collector) sample(ctx context.Context, final bool) {
	if err := c.readJournal(ctx); err != nil {
		c.problem(ctx, "the store's journal", err)
	}
	c.readMachines(ctx)
	c.mutex.Lock()
	backends, nodes := maps.Clone(c.backends), maps.Clone(c.nodes)
	c.mutex.Unlock()
	var group errgroup.Group
	group.SetLimit(samplers)
	for name, url := range backends {
		group.Go(func() error { c.readBook(ctx, name, url, final); return nil })
	}
	for address := range nodes {
		group.Go(func() error { c.readNode(ctx, address); return nil })
	}
	// The reads count their own errors as problems.
	_ = group.Wait()
}

// Roles of machines on the list.
const (
	roleNode    = "node"
	roleEngine  = "engine"
	roleService = "service"
)

func (c *Collector) readMachines(ctx context.Context) {
	var list objectstore.MachineList
	if err := c.get(ctx, c.options.Platform+"/v1/machines", &list); err != nil {
		c.problem(ctx, "the machine list", err)
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
		c.problem(ctx, "the book of "+name, err)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := bookKey{name: book.Backend.Name, incarnation: book.Incarnation}
	c.books[key] = check.BookSample{Book: book, SampledAt: time.Now(), Final: final}
}

// nodeStatus is the part of a node's status that is sampled.
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
		// A node may be down; the checks judge the samples that there are.
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
	c.samples = append(c.samples, sample)
}

// problem counts what could not be read. What the end of the run cut off is
// none.
func (c *Collector) problem(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		c.Note(what, err)
	}
}

// Note counts a problem of the laboratory itself, so that it is shown.
func (c *Collector) Note(what string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.problems[what]
	c.problems[what] = Problem{Times: known.Times + 1, Last: err.Error()}
}

// Fill puts what was gathered into the evidence.
func (c *Collector) Fill(evidence *check.Evidence) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	evidence.Books = mergeBooks(slices.Collect(maps.Values(c.books)))
	evidence.ConfigSamples = slices.Clone(c.samples)
	evidence.Decisions = slices.Clone(c.store.decisions)
	evidence.ConfigChanges = slices.Clone(c.store.changes)
	evidence.MaxReplicas = maps.Clone(c.store.maxReplicas)
}

// Problem tells how often something could not be read, and why at last.
type Problem struct {
	Times int    `json:"times"`
	Last  string `json:"last"`
}

// Problems lists what could not be read.
func (c *Collector) Problems() map[string]Problem {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.problems)
}

// Machines returns the machine list as last read.
func (c *Collector) Machines() []objectstore.Machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.machines)
}

// Objects returns the declared objects as last seen.
func (c *Collector) Objects() []objectstore.Object {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.store.sortedObjects()
}
