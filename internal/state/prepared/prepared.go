// Package prepared tracks the statements that are prepared on a database connection, and decides what must happen
// before a statement can be executed there. It identifies statements by their text and the server's IDs, and does not
// depend on a protocol. It does no I/O: the owner of the connection carries out its answers.
package prepared

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Statement describes a statement that a server has prepared.
type Statement struct {
	ID          uint32 // the server's ID for it on this connection
	ReturnsRows bool   // its executions return rows
}

// Cache holds the prepared statements of one connection and evicts the least recently used. It is not safe for
// concurrent use.
type Cache struct {
	capacity int
	lru      *simplelru.LRU[string, Statement]
}

// New returns a cache for at most the given number of statements, at least one.
func New(capacity int) *Cache {
	capacity = max(capacity, 1)
	lru, _ := simplelru.NewLRU[string, Statement](capacity, nil) // its only error is a size below one
	return &Cache{capacity, lru}
}

// Len returns the number of statements in the cache.
func (c *Cache) Len() int { return c.lru.Len() }

// Get returns the prepared statement for a text and marks it as used.
func (c *Cache) Get(text string) (st Statement, ok bool) { return c.lru.Get(text) }

// Put records that a statement has been prepared. If must is set, the statement with the ID closes was replaced or
// evicted and must be closed at the server.
func (c *Cache) Put(text string, st Statement) (closes uint32, must bool) {
	if previous, ok := c.lru.Peek(text); ok {
		closes, must = previous.ID, previous.ID != st.ID
	} else if c.lru.Len() >= c.capacity {
		_, old, _ := c.lru.RemoveOldest()
		closes, must = old.ID, true
	}
	c.lru.Add(text, st)
	return closes, must
}

// Remove removes a statement that the server no longer knows.
func (c *Cache) Remove(text string) { c.lru.Remove(text) }

// Step is the next step of an execution.
type Step uint8

// Steps of an execution.
const (
	Execute Step = iota // the statement is prepared: execute it
	Prepare             // prepare the statement first
	GiveUp              // the statement cannot be prepared here: the server forgot it repeatedly
)

// Execution is an execution in progress. A statement that the server forgot is prepared once more, but not twice: a
// server that forgets at once would hold the request until its time is up. Neither preparing a statement nor
// executing an unknown one runs anything.
type Execution struct {
	Text         string
	prepareCount int
	Sent         bool // the last byte of EXECUTE was written, and the server has not reported the statement as unknown
}

// Next returns the next step on the connection of c and, for Execute, the prepared statement.
func (x *Execution) Next(c *Cache) (Step, Statement) {
	if st, ok := c.Get(x.Text); ok {
		x.Sent = true
		return Execute, st
	}
	if x.prepareCount >= 2 {
		return GiveUp, Statement{}
	}
	x.prepareCount++
	return Prepare, Statement{}
}

// StatementUnknown records that the server did not know the statement, so nothing has run.
func (x *Execution) StatementUnknown(c *Cache) {
	c.Remove(x.Text)
	x.Sent = false
}
