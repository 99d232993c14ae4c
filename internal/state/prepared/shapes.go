package prepared

import (
	"container/list"
	"time"
)

// Shapes keeps what databases said of the statements that they prepared, their parameters and columns, so that the next
// client that prepares the same text has its answer at once: the same text from 500 clients is one question to a group, not
// 500, and none of them has to wait for a database that is busy. A shape is kept for a while only: a table's columns may
// change. Errors are not kept. It is not safe for concurrent use.
type Shapes struct {
	most, room, used int // entries, and bytes of texts and answers
	keep             time.Duration
	entries          map[shapeKey]*list.Element
	order            list.List // the one used last in front
}

type shapeKey struct {
	group int
	text  string
}

type shape struct {
	key    shapeKey
	answer []byte
	at     time.Duration
}

func (s *shape) size() int { return len(s.key.text) + len(s.answer) }

// NewShapes keeps so many answers, so many bytes and so long, at most.
func NewShapes(most, room int, keep time.Duration) *Shapes {
	return &Shapes{most: most, room: room, keep: keep, entries: map[shapeKey]*list.Element{}}
}

// Len tells how many are kept, and how many bytes they hold.
func (s *Shapes) Len() (entries, bytes int) { return len(s.entries), s.used }

// Learn keeps a copy of the answer to a text's preparation in a group. One that would take more than a quarter of the room
// is not kept: it would drive out all that others use.
func (s *Shapes) Learn(now time.Duration, group int, text string, answer []byte) {
	key := shapeKey{group, text}
	s.Forget(group, text)
	n := &shape{key, append([]byte(nil), answer...), now}
	if n.size() > s.room/4 || s.most < 1 {
		return
	}
	for len(s.entries) >= s.most || s.used+n.size() > s.room {
		s.drop(s.order.Back())
	}
	s.entries[key] = s.order.PushFront(n)
	s.used += n.size()
}

// Of gives what is known of a text in a group, valid until the next call, and the copy of the text that is kept.
func (s *Shapes) Of(now time.Duration, group int, text string) (answer []byte, same string, ok bool) {
	e := s.entries[shapeKey{group, text}]
	if e == nil {
		return nil, "", false
	}
	n := e.Value.(*shape)
	if now-n.at >= s.keep {
		s.drop(e)
		return nil, "", false
	}
	s.order.MoveToFront(e)
	return n.answer, n.key.text, true
}

// Forget drops what is known of a text: a database has just refused it.
func (s *Shapes) Forget(group int, text string) {
	if e := s.entries[shapeKey{group, text}]; e != nil {
		s.drop(e)
	}
}

func (s *Shapes) drop(e *list.Element) {
	n := s.order.Remove(e).(*shape)
	delete(s.entries, n.key)
	s.used -= n.size()
}
