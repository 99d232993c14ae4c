// Package prepared keeps what is prepared on a database's connection, and decides what has to happen before a statement
// can be executed there. It knows statements as texts and the numbers that a server gave them, and no protocol. It is
// pure: what it answers is to be carried out by whoever owns the connection.
package prepared

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Statement is what a server says of a statement that it has prepared.
type Statement struct {
	ID          uint32 // by which the server knows it, on this connection
	ReturnsRows bool   // its executions answer with rows
}

// Cache holds the statements of one connection, the least recently used of which gives way. It is not safe for
// concurrent use.
type Cache struct {
	capacity int
	lru      *simplelru.LRU[string, Statement]
}

// New makes a cache for so many statements, one at least.
func New(most int) *Cache {
	most = max(most, 1)
	lru, _ := simplelru.NewLRU[string, Statement](most, nil) // its one error is a size below one
	return &Cache{most, lru}
}

// Len tells how many statements are held.
func (c *Cache) Len() int { return c.lru.Len() }

// Get gives a statement that is prepared here, and notes its use.
func (c *Cache) Get(text string) (st Statement, ok bool) { return c.lru.Get(text) }

// Put notes that a statement has been prepared. What has to give way for it is to be closed at the server.
func (c *Cache) Put(text string, st Statement) (closes uint32, must bool) {
	if was, ok := c.lru.Peek(text); ok {
		closes, must = was.ID, was.ID != st.ID
	} else if c.lru.Len() >= c.capacity {
		_, old, _ := c.lru.RemoveOldest()
		closes, must = old.ID, true
	}
	c.lru.Add(text, st)
	return closes, must
}

// Remove drops a statement that the server has forgotten.
func (c *Cache) Remove(text string) { c.lru.Remove(text) }

// Step is what has to happen next for an execution.
type Step uint8

// The steps.
const (
	Execute Step = iota // it is prepared: execute
	Prepare             // prepare it first
	GiveUp              // it can't be prepared here: it was, and the server forgot it again
)

// Execution is one execution on its way. A server that forgot its statement gets it once more, not twice: one that forgets at
// once would keep the request until its time is up. Neither preparing nor a forgotten statement has run anything.
type Execution struct {
	Text         string
	prepareCount int
	Sent         bool // EXECUTE's last byte was written, and no word came back that it was for nothing
}

// Next gives the next step on a connection.
func (r *Execution) Next(c *Cache) (Step, Statement) {
	if st, ok := c.Get(r.Text); ok {
		r.Sent = true
		return Execute, st
	}
	if r.prepareCount >= 2 {
		return GiveUp, Statement{}
	}
	r.prepareCount++
	return Prepare, Statement{}
}

// StatementUnknown notes that the server didn't know the statement: nothing has run.
func (r *Execution) StatementUnknown(c *Cache) {
	c.Remove(r.Text)
	r.Sent = false
}
