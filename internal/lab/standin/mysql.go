package standin

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/wire/mysql"
	"havenproxy/internal/wire/routing"
)

type packet struct {
	body []byte
	seq  byte
}

func nextPacket(buf []byte) (packet, int, error) {
	body, seq, n, err := mysql.Next(buf, mysql.MaxPacket)
	return packet{body, seq}, n, err
}

type preparedStatement struct {
	text   string
	params int
	types  []byte
	long   map[int][]byte
}

// mysql is a conversation in MySQL's protocol. Anyone is welcome, without a password.
func (s *session) mysql() {
	w := s.db.w
	if !s.hung() {
		s.write(mysql.AppendHandshake(nil, mysql.Handshake{Version: "8.0.36-lab", ID: 1, Scramble: bytes.Repeat([]byte{'s'}, mysql.ScrambleLen),
			Caps: mysql.ServerCaps, Plugin: mysql.CachingSHA2}))
	}
	p, err := take(s, nextPacket)
	if err != nil {
		return
	}
	l, err := mysql.ParseLogin(p.body)
	if err != nil {
		s.write(mysql.AppendErr(nil, p.seq+1, mysql.ErrHandshake, "a bad login"))
		return
	}
	caps := l.Caps & mysql.ServerCaps
	s.write(mysql.AppendOK(nil, p.seq+1, mysql.OK{}, caps, false))
	statements, last := map[uint32]*preparedStatement{}, uint32(0)
	var ticket fleet.Ticket
	defer func() { w.With(func(now time.Duration, f *fleet.Fleet) { f.Withdraw(now, ticket) }) }()
	for {
		p, err := take(s, nextPacket)
		if err != nil || p.seq != 0 || len(p.body) == 0 {
			return
		}
		body := bytes.Clone(p.body) // the model answers later
		switch body[0] {
		case mysql.ComQuit:
			return
		case mysql.ComQuery:
			text, _, err := mysql.ParseQuery(body, caps)
			if err != nil {
				return
			}
			ticket = s.mysqlQuery(string(text), caps)
		case mysql.ComStmtPrepare:
			last++
			st := &preparedStatement{text: string(body[1:]), params: countParams(string(body[1:])), long: map[int][]byte{}}
			if _, err := routing.Parse(st.text); err != nil {
				s.write(mysql.AppendErr(nil, 1, mysql.ErrParse, "not a statement of this deployment"))
				continue
			}
			statements[last] = st
			var params [][]byte
			for range st.params {
				params = append(params, mysql.AppendColumn(nil, 0, "?", mysql.TypeVarString)[4:])
			}
			if !s.hung() {
				s.write(mysql.AppendPrepared(nil, 1, mysql.Prepared{Statement: last, Columns: 1, Params: st.params}, params,
					[][]byte{mysql.AppendColumn(nil, 0, "val", mysql.TypeVarString)[4:]}, caps))
			}
		case mysql.ComStmtLongData:
			d, err := mysql.ParseLongData(body)
			if st := statements[d.Statement]; err == nil && st != nil {
				st.long[d.Param] = append(st.long[d.Param], d.Data...)
			}
		case mysql.ComStmtExecute:
			id, _ := mysql.StatementOf(body)
			if statements[id] == nil {
				s.write(mysql.AppendErr(nil, 1, mysql.ErrUnknownStatement, "unknown statement"))
				continue
			}
			ticket = s.mysqlExecute(statements[id], body, caps)
		case mysql.ComStmtClose:
			id, _ := mysql.StatementOf(body)
			delete(statements, id)
		case mysql.ComPing, mysql.ComInitDB:
			s.write(mysql.AppendOK(nil, 1, mysql.OK{}, caps, false))
		case mysql.ComSetOption:
			if caps&mysql.ClientDeprecateEOF == 0 {
				s.write(mysql.AppendEOF(nil, 1, mysql.StatusAutocommit))
				break
			}
			s.write(mysql.AppendOK(nil, 1, mysql.OK{}, caps, true))
		default:
			s.write(mysql.AppendErr(nil, 1, mysql.ErrUnknownCommand, "unknown command"))
		}
	}
}

func (s *session) mysqlQuery(text string, caps uint32) fleet.Ticket {
	w := s.db.w
	if trimmed := strings.Trim(text, " \t\r\n;"); strings.EqualFold(trimmed, "SHOW load") {
		w.With(func(now time.Duration, f *fleet.Fleet) {
			f.Probe(now, s.db.id, func(r fleet.Report) { s.write(mysqlRow(w.report(r), "", 0, false, caps)) })
		})
		return fleet.Ticket{}
	}
	h, err := routing.Parse(text)
	return s.mysqlSubmit(&h, err, false, caps)
}

func (s *session) mysqlExecute(st *preparedStatement, body []byte, caps uint32) fleet.Ticket {
	x, err := mysql.ParseExecute(body, st.params, st.types, caps, func(i int) bool { return st.long[i] != nil })
	h, _ := routing.Parse(st.text)
	if err == nil {
		st.types = x.Types
		err = h.Resolve(func(i int) (string, bool) {
			if data := st.long[i]; data != nil {
				return string(data), true
			}
			if i < 0 || i >= len(x.Values) {
				return "", false
			}
			return x.Values[i].Text()
		})
	}
	st.long = map[int][]byte{}
	return s.mysqlSubmit(&h, err, true, caps)
}

func (s *session) mysqlSubmit(h *routing.Hints, err error, binary bool, caps uint32) fleet.Ticket {
	if err != nil {
		s.write(mysql.AppendErr(nil, 1, mysql.ErrParse, "not a statement of this deployment"))
		return fleet.Ticket{}
	}
	t, ok := s.submit(h, func(class int, r fleet.Reply) { s.write(s.db.w.encodeMySQL(h.ID, class, r, binary, caps)) })
	if !ok {
		s.write(mysql.AppendErr(nil, 1, mysql.ErrParse, "no such class"))
	}
	return t
}

// encodeMySQL puts the model's answer into packets. Role and position stand in the last one, as session variables.
func (w *World) encodeMySQL(id string, class int, r fleet.Reply, binary bool, caps uint32) []byte {
	role, at := w.stamps(class, r)
	switch r.Result {
	case fleet.Served:
		return mysqlRow(id+"@"+strconv.FormatInt(at, 10), role, at, binary, caps)
	case fleet.NotPrimary:
		return mysql.AppendErr(nil, 1, mysql.ErrReadOnly, "the server is running with --super-read-only")
	case fleet.TooFarBack:
		return mysql.AppendErr(nil, 1, mysql.ErrTooFarBehind, "too far behind")
	case fleet.TurnedAway:
		return mysql.AppendErr(nil, 1, mysql.ErrTooManyConnections, "turned away")
	}
	return mysql.AppendErr(nil, 1, mysql.ErrFailed, "deposed")
}

func mysqlRow(value, role string, at int64, binary bool, caps uint32) []byte {
	out := mysql.AppendPacket(nil, 1, []byte{1})
	out = mysql.AppendColumn(out, 2, "val", mysql.TypeVarString)
	seq := byte(3)
	if caps&mysql.ClientDeprecateEOF == 0 {
		out = mysql.AppendEOF(out, seq, mysql.StatusAutocommit)
		seq++
	}
	if binary {
		out = mysql.AppendBinaryRow(out, seq, value)
	} else {
		out = mysql.AppendTextRow(out, seq, value)
	}
	seq++
	if caps&mysql.ClientDeprecateEOF == 0 {
		return mysql.AppendEOF(out, seq, mysql.StatusAutocommit)
	}
	if role == "" {
		return mysql.AppendOK(out, seq, mysql.OK{}, caps, true)
	}
	return mysql.AppendOK(out, seq, mysql.OK{}, caps, true, mysql.VarRole, role, mysql.VarPosition, strconv.FormatInt(at, 10))
}

// countParams counts the question marks of a statement, those in texts and comments aside.
func countParams(text string) (n int) {
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\'' || text[i] == '"' || text[i] == '`':
			if end := strings.IndexByte(text[i+1:], text[i]); end >= 0 {
				i += end + 1
			}
		case strings.HasPrefix(text[i:], "/*"):
			if end := strings.Index(text[i:], "*/"); end >= 0 {
				i += end
			}
		case text[i] == '?':
			n++
		}
	}
	return n
}
