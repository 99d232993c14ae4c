package pg

// AppendSync appends the command that separates the answers to two queries: an empty query, which has no effect. Its
// answer, EmptyQueryResponse, is of a kind that no other query has.
func AppendSync(dst []byte) []byte { return AppendQuery(dst, "") }

// SyncReply checks the answer to the command of AppendSync. The zero value expects its first message.
type SyncReply struct{ empty, ready bool }

// Add adds the next message. It returns ErrMalformed if the message belongs to another answer.
func (r *SyncReply) Add(message Message) error {
	switch {
	case message.Type == typeNotice || message.Type == typeParameterStatus:
	case message.Type == typeEmpty && !r.empty:
		r.empty = true
	case message.Type == typeReady && r.empty:
		r.ready = true
	default:
		return ErrMalformed
	}
	return nil
}

// Ready reports whether the answer is complete.
func (r *SyncReply) Ready() bool { return r.ready }
