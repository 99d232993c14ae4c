package mysql

import (
	"encoding/binary"
	"strconv"
)

const (
	// MaxAnswer bounds what is gathered of one answer.
	MaxAnswer  = 256 << 10
	maxColumns = 1024
)

// OK is an OK packet, read.
type OK struct {
	Affected, InsertID uint64
	Status, Warnings   uint16
	Info               string
	// What session tracking tells of the server, where it tells it; see Role and Position.
	Role     string // RolePrimary, RoleReplica or empty
	Position int64  // Unix milliseconds; 0 = not told, or no sense
}

// AppendOK writes an OK packet; vars are name and value in turn, for a peer with ClientSessionTrack. As the end of a
// result set, for a peer with ClientDeprecateEOF, its first byte is another.
func AppendOK(dst []byte, seq byte, ok OK, caps uint32, ends bool, vars ...string) []byte {
	dst, at := begin(dst, seq)
	head := byte(0x00)
	if ends {
		head = 0xfe
	}
	dst = appendLenEnc(appendLenEnc(append(dst, head), ok.Affected), ok.InsertID)
	status := ok.Status&^StatusSessionStateChanged | StatusAutocommit // a change that isn't written here isn't announced
	track := caps&ClientSessionTrack != 0 && len(vars) > 0
	if track {
		status |= StatusSessionStateChanged
	}
	dst = binary.LittleEndian.AppendUint16(dst, status)
	dst = binary.LittleEndian.AppendUint16(dst, ok.Warnings)
	if caps&ClientSessionTrack == 0 {
		return end(append(dst, ok.Info...), at)
	}
	if track || ok.Info != "" {
		dst = appendLenStr(dst, ok.Info)
	}
	if track {
		var all []byte
		for i := 0; i+1 < len(vars); i += 2 {
			one := appendLenStr(appendLenStr(nil, vars[i]), vars[i+1])
			all = append(appendLenEnc(append(all, 0), uint64(len(one))), one...)
		}
		dst = append(appendLenEnc(dst, uint64(len(all))), all...)
	}
	return end(dst, at)
}

// ParseOK reads an OK packet, also one that ends a result set.
func ParseOK(body []byte, caps uint32) (ok OK, err error) {
	r := &reader{b: body}
	if head := r.byte(); head != 0x00 && head != 0xfe {
		return ok, ErrMalformed
	}
	ok.Affected, ok.InsertID = r.lenEnc(), r.lenEnc()
	ok.Status, ok.Warnings = r.uint16(), r.uint16()
	if caps&ClientSessionTrack == 0 {
		ok.Info = string(r.b)
		return ok, r.err()
	}
	if len(r.b) > 0 {
		ok.Info = string(r.lenStr())
	}
	if ok.Status&StatusSessionStateChanged != 0 {
		for in := (&reader{b: r.lenStr(), bad: r.bad}); len(in.b) > 0; {
			kind, data := in.byte(), &reader{b: in.lenStr()}
			if in.bad {
				return ok, ErrMalformed
			}
			if kind != 0 { // schemas, GTIDs and the like are passed over
				continue
			}
			name, value := data.lenStr(), data.lenStr()
			if data.bad {
				return ok, ErrMalformed
			}
			switch string(name) {
			case VarRole:
				ok.Role = roleOf(value)
			case VarPosition:
				ok.Position = positionOf(string(value))
			}
		}
	}
	return ok, r.err()
}

func isEOF(body []byte) bool { return len(body) > 0 && len(body) < 9 && body[0] == 0xfe }

// AppendEOF writes an EOF packet, for a peer without ClientDeprecateEOF.
func AppendEOF(dst []byte, seq byte, status uint16) []byte {
	dst, at := begin(dst, seq)
	return end(append(dst, 0xfe, 0, 0, byte(status), byte(status>>8)), at)
}

// AppendColumn writes a column's definition, of text.
func AppendColumn(dst []byte, seq byte, name string, kind byte) []byte {
	dst, at := begin(dst, seq)
	for _, s := range []string{"def", "", "", "", name, name} {
		dst = appendLenStr(dst, s)
	}
	dst = binary.LittleEndian.AppendUint16(append(dst, 0x0c), charset)
	dst = binary.LittleEndian.AppendUint32(dst, MaxPacket)
	return end(append(dst, kind, 0, 0, 0, 0, 0), at)
}

// AppendTextRow writes a row of a text result.
func AppendTextRow(dst []byte, seq byte, values ...string) []byte {
	dst, at := begin(dst, seq)
	for _, v := range values {
		dst = appendLenStr(dst, v)
	}
	return end(dst, at)
}

// AppendBinaryRow writes a row of strings of a binary result.
func AppendBinaryRow(dst []byte, seq byte, values ...string) []byte {
	dst, at := begin(dst, seq)
	dst = append(dst, 0)
	dst = append(dst, make([]byte, (len(values)+9)/8)...)
	for _, v := range values {
		dst = appendLenStr(dst, v)
	}
	return end(dst, at)
}

// Prepared is a server's answer to COM_STMT_PREPARE.
type Prepared struct {
	Statement       uint32
	Columns, Params int
}

// AppendPrepared writes the answer to COM_STMT_PREPARE, with definitions of parameters and columns as payloads.
func AppendPrepared(dst []byte, seq byte, p Prepared, params, columns [][]byte, caps uint32) []byte {
	dst, at := begin(dst, seq)
	dst = binary.LittleEndian.AppendUint32(append(dst, 0), p.Statement)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(p.Columns))
	dst = binary.LittleEndian.AppendUint16(dst, uint16(p.Params))
	dst = end(append(dst, 0, 0, 0), at)
	for _, list := range [][][]byte{params, columns} {
		for _, d := range list {
			seq++
			dst = AppendPacket(dst, seq, d)
		}
		if len(list) > 0 && caps&ClientDeprecateEOF == 0 {
			seq++
			dst = AppendEOF(dst, seq, StatusAutocommit)
		}
	}
	return dst
}

// Phase is where an answer stands.
type phase uint8

const (
	awaitsFirst phase = iota
	awaitsColumns
	awaitsColumnsEOF
	awaitsRows
	awaitsParamDefs
	awaitsParamsEOF
	awaitsColumnDefs
	awaitsColumnDefsEOF
	whole
)

// Reply gathers what a database says to one command, packet by packet.
type Reply struct {
	Err      *ServerError
	OK       OK
	Columns  [][]byte // payloads of definitions
	Params   [][]byte // of a prepared statement
	Rows     [][]byte
	Prepared Prepared
	IsResult bool // a result set, not an OK

	caps    uint32
	prepare bool
	skims   bool
	binary  bool // its rows are
	due     bool // a result set is: an OK in its place is no answer
	columns int
	phase   phase
	left    int
	seq     byte
	size    int
}

// Expect makes the reply ready for the answer to the next command; prepare tells that it was COM_STMT_PREPARE.
func (r *Reply) Expect(caps uint32, prepare bool) {
	*r = Reply{caps: caps, prepare: prepare, seq: 1, Columns: r.Columns[:0], Params: r.Params[:0], Rows: r.Rows[:0]}
}

// Skim makes the reply check the packets of the answer that it expects, and count them, without keeping the payloads:
// for whoever passes the bytes on as they come.
func (r *Reply) Skim() { r.skims = true }

// Due makes the reply insist on a result set.
func (r *Reply) Due() { r.due = true }

// Binary makes the reply expect rows in the binary form, as executions of prepared statements have them.
func (r *Reply) Binary() { r.binary = true }

// fits tells whether a row holds as many values as there are columns. Of a binary one, whose values depend on the
// columns' types, only the head is looked at.
func (r *Reply) fits(row []byte) bool {
	if r.binary {
		return row[0] == 0 && len(row) >= 1+(r.columns+9)/8
	}
	in := &reader{b: row}
	for range r.columns {
		if len(in.b) > 0 && in.b[0] == 0xfb { // NULL
			in.b = in.b[1:]
		} else if in.lenStr(); in.bad {
			return false
		}
	}
	return len(in.b) == 0
}

// isDefinition tells whether a packet may be a column's definition: the first thing in one is its catalogue, always "def".
func isDefinition(body []byte) bool {
	return len(body) > 4 && body[0] == 3 && string(body[1:4]) == "def"
}

// Whole tells whether all of it has come.
func (r *Reply) Whole() bool { return r.phase == whole }

// Add takes the next packet's payload, which it copies. An error means that the bytes make no sense: what comes behind
// them can't be trusted either.
func (r *Reply) Add(body []byte, seq byte) error {
	if seq != r.seq {
		return ErrSequence
	}
	r.seq++
	if r.size += headLen + len(body); r.size > MaxAnswer {
		return ErrTooLarge
	}
	if len(body) == 0 {
		return ErrMalformed
	}
	if body[0] == 0xff && (r.phase == awaitsFirst || r.phase == awaitsRows) {
		e, err := ParseErr(body)
		r.Err, r.phase = &e, whole
		return err
	}
	keep := func(list *[][]byte) {
		if !r.skims {
			*list = append(*list, append([]byte(nil), body...))
		}
	}
	var err error
	switch r.phase {
	case awaitsFirst:
		return r.first(body)
	case awaitsColumns:
		if !isDefinition(body) {
			return ErrMalformed
		}
		keep(&r.Columns)
		r.step(awaitsColumnsEOF, awaitsRows)
	case awaitsColumnsEOF:
		err = r.eof(body, awaitsRows)
	case awaitsRows:
		switch {
		case r.caps&ClientDeprecateEOF != 0 && body[0] == 0xfe: // a row's value of 16 MiB, which begins so too, is too large
			r.OK, err = ParseOK(body, r.caps)
			r.phase = whole
		case r.caps&ClientDeprecateEOF == 0 && isEOF(body):
			r.phase = whole
		case !r.fits(body):
			return ErrMalformed
		default:
			keep(&r.Rows)
		}
	case awaitsParamDefs:
		if !isDefinition(body) {
			return ErrMalformed
		}
		keep(&r.Params)
		r.step(awaitsParamsEOF, r.behindParams())
	case awaitsParamsEOF:
		err = r.eof(body, r.behindParams())
	case awaitsColumnDefs:
		if !isDefinition(body) {
			return ErrMalformed
		}
		keep(&r.Columns)
		r.step(awaitsColumnDefsEOF, whole)
	case awaitsColumnDefsEOF:
		err = r.eof(body, whole)
	default:
		return ErrMalformed // behind its end
	}
	return err
}

func (r *Reply) first(body []byte) (err error) {
	if r.prepare {
		in := &reader{b: body}
		if in.byte() != 0 {
			return ErrMalformed
		}
		r.Prepared = Prepared{in.uint32(), int(in.uint16()), int(in.uint16())}
		if in.take(3); in.bad || r.Prepared.Params > MaxParams || r.Prepared.Columns > maxColumns {
			return ErrMalformed
		}
		if r.phase, r.left = awaitsParamDefs, r.Prepared.Params; r.left == 0 {
			r.enter(r.behindParams())
		}
		return nil
	}
	switch body[0] {
	case 0x00:
		if r.due {
			return ErrMalformed
		}
		r.OK, err = ParseOK(body, r.caps)
		r.phase = whole
		return err
	case 0xfb, 0xfe: // a file is asked for, or another login
		return ErrMalformed
	}
	in := &reader{b: body}
	n := in.lenEnc()
	if in.bad || len(in.b) > 0 || n == 0 || n > maxColumns {
		return ErrMalformed
	}
	r.IsResult, r.phase, r.left, r.columns = true, awaitsColumns, int(n), int(n)
	return nil
}

// behindParams is what follows the definitions of parameters.
func (r *Reply) behindParams() phase {
	if r.Prepared.Columns == 0 {
		return whole
	}
	return awaitsColumnDefs
}

func (r *Reply) enter(p phase) {
	if r.phase = p; p == awaitsColumnDefs {
		r.left = r.Prepared.Columns
	}
}

// step counts a definition down; behind the last comes an EOF packet, or without one what follows it.
func (r *Reply) step(eof, without phase) {
	if r.left--; r.left > 0 {
		return
	}
	if r.caps&ClientDeprecateEOF == 0 {
		r.phase = eof
		return
	}
	r.enter(without)
}

func (r *Reply) eof(body []byte, then phase) error {
	if !isEOF(body) {
		return ErrMalformed
	}
	r.enter(then)
	return nil
}

// Relay writes an answer for a client as it came, from a server with session tracking and without EOF packets to a client
// without EOF packets: only the last packet is another, for what the server tells of itself is not for clients. The answer
// is whole and starts with sequence number 1. False = it has to be taken apart: it is no result set, or the client speaks
// in another form.
func Relay(dst, answer []byte, caps uint32) ([]byte, bool) {
	if caps&ClientDeprecateEOF == 0 || len(answer) <= headLen || answer[headLen] == 0x00 || answer[headLen] == 0xff {
		return dst, false
	}
	last := 0
	for at := 0; at < len(answer); {
		_, _, n, err := Next(answer[at:], MaxPacket)
		if n == 0 || err != nil {
			return dst, false
		}
		last, at = at, at+n
	}
	ok, err := ParseOK(answer[last+headLen:], ClientSessionTrack)
	if err != nil {
		return dst, false
	}
	dst = append(dst, answer[:last]...)
	return AppendOK(dst, answer[last+3], OK{Warnings: ok.Warnings}, caps, true), true
}

// AppendTo writes the answer for a client, whose capabilities may be others than those towards the database.
func (r *Reply) AppendTo(dst []byte, seq byte, caps uint32) []byte {
	switch {
	case r.Err != nil:
		return AppendErr(dst, seq, r.Err.Number, r.Err.Text)
	case r.prepare:
		return AppendPrepared(dst, seq, r.Prepared, r.Params, r.Columns, caps)
	case !r.IsResult:
		return AppendOK(dst, seq, r.OK, caps, false)
	}
	dst, at := begin(dst, seq)
	dst = end(appendLenEnc(dst, uint64(len(r.Columns))), at)
	for _, c := range r.Columns {
		seq++
		dst = AppendPacket(dst, seq, c)
	}
	if caps&ClientDeprecateEOF == 0 {
		seq++
		dst = AppendEOF(dst, seq, StatusAutocommit)
	}
	for _, row := range r.Rows {
		seq++
		dst = AppendPacket(dst, seq, row)
	}
	seq++
	if caps&ClientDeprecateEOF == 0 {
		return AppendEOF(dst, seq, StatusAutocommit)
	}
	return AppendOK(dst, seq, OK{Warnings: r.OK.Warnings}, caps, true)
}

// The session variables by which a database tells what it is.
const (
	VarRole     = "role"
	VarPosition = "applied_ms"
)

// The roles that VarRole tells.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

func roleOf(value []byte) string {
	switch string(value) {
	case RolePrimary:
		return RolePrimary
	case RoleReplica:
		return RoleReplica
	}
	return ""
}

// positionOf reads a position in Unix milliseconds; 0 = it makes no sense.
func positionOf(value string) int64 {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms >= 1<<53 {
		return 0
	}
	return ms
}

// Outcome is what an error number says of an attempt.
type Outcome uint8

// The outcomes of errors.
const (
	MayHaveRun Outcome = iota // anything that isn't known
	Miss                      // no primary, or too far behind: no effect
	TurnedAway                // never begun: try elsewhere, or later
	Unfit                     // the statement's own fault, no member is to blame
	Forgotten                 // the server doesn't know the prepared statement any more: never begun
)

// OutcomeOf says what an error means. docs/operators/mysql.md shows the table.
func OutcomeOf(e *ServerError) Outcome {
	switch e.Number {
	case ErrTooFarBehind: // any signal has this number; its state tells which
		if e.State == states[ErrTooFarBehind] {
			return Miss
		}
	case ErrReadOnly, ErrReadOnlyMode, ErrReadOnlyTrx:
		return Miss
	case ErrTooManyConnections, ErrUserLimit, ErrServerIsolated, ErrServerShutdown:
		return TurnedAway
	case ErrUnknownStatement:
		return Forgotten
	case ErrParse, ErrWrongArguments, ErrTooManyStatements, ErrUnknownCommand, ErrPacketTooLarge, ErrMalformedPacket:
		return Unfit
	}
	return MayHaveRun
}
