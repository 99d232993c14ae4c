package net

// continuation is work that goes on behind the loop's other work. It is posted at most once at a time: where each event of a socket posted
// the rest anew, several copies of the work took turns, and more with each event, as long as a peer kept sending. The zero value is not posted.
type continuation struct{ posted bool }

// post makes the loop call work, unless a call is due already.
func (c *continuation) post(loop *Loop, work func()) {
	if c.posted {
		return
	}
	c.posted = true
	loop.Post(func() {
		c.posted = false
		work()
	})
}
