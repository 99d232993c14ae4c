package limit

// answerSizeWeight is the weight of one more answer in the moving average of their sizes.
const answerSizeWeight = 1.0 / 64

// AnswerBudget bounds the memory of answers that clients have not read yet, by what is taken on: no answer is thrown
// away, but fewer queries are taken.
type AnswerBudget struct {
	PerClient int // bytes that may wait for one client before no further query of it is taken
	Total     int // bytes that may wait for all clients, or be expected, before each gets one answer at a time

	Unsent  int // bytes that wait for clients
	Pending int // queries that have been taken and not been answered yet

	meanSize float64 // moving average of the bytes of an answer
}

// ClientLoad is what one client is owed.
type ClientLoad struct {
	Pending    int  // queries that are not answered yet
	MaxPending int  // the maximum of Pending
	Unsent     int  // bytes of answers that wait for it
	OneAtATime bool // it gets one answer at a time in any case
}

// RecordAnswer notes the size of a database's answer in bytes.
func (b *AnswerBudget) RecordAnswer(size int) {
	if b.meanSize == 0 {
		b.meanSize = float64(size)
	}
	b.meanSize += (float64(size) - b.meanSize) * answerSizeWeight
}

// Admits reports whether another query of a client may be taken.
func (b *AnswerBudget) Admits(c ClientLoad) bool {
	if c.Pending >= c.MaxPending || c.Unsent > b.PerClient {
		return false
	}
	owed := c.Pending > 0 || c.Unsent > 0
	return !owed || !c.OneAtATime && !b.exceeded()
}

// exceeded reports whether the answers that wait and those that are expected for pending queries may take more than
// Total.
func (b *AnswerBudget) exceeded() bool {
	return b.Unsent+int(float64(b.Pending)*b.meanSize) > b.Total
}
