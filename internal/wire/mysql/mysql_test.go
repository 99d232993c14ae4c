package mysql

import (
	"bytes"
	"database/sql"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"
	"pgregory.net/rapid"
)

func open(t *testing.T, s *server, login, options string) *sql.DB {
	t.Helper()
	db, err := sql.Open("mysql", login+"@tcp("+s.ln.Addr().String()+")/core?"+options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	return db
}

// go-sql-driver logs in by each method, and not with a wrong password.
func TestTheDriverLogsInByEachMethod(t *testing.T) {
	key, err := NewKey()
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(t, map[string]string{"none": "", "native": HashNative("pw1"), "sha2": HashSHA2("pw2"),
		"salted": HashSalted("pw3", []byte("some salt"))})
	s.key = key
	for login, ok := range map[string]bool{"none": true, "native:pw1": true, "sha2:pw2": true, "salted:pw3": true,
		"native:pw2": false, "sha2:pw1": false, "salted:no": false, "nobody:x": false, "sha2": false} {
		err := open(t, s, login, "allowNativePasswords=true").Ping()
		if (err == nil) != ok {
			t.Errorf("%s: %v", login, err)
		}
		var denied *driver.MySQLError
		if !ok && (!errors.As(err, &denied) || denied.Number != ErrAccessDenied) {
			t.Errorf("%s: %v", login, err)
		}
	}
}

func TestSecretsAreReadAndNeverPrinted(t *testing.T) {
	for _, text := range []string{HashNative("geheim"), HashSHA2("geheim"), HashSalted("geheim", []byte("12345678"))} {
		s, err := ParseSecret(text)
		if out := fmt.Sprintf("%v %+v %#v %s", s, s, s, s); err != nil || strings.Contains(out, "[") {
			t.Errorf("%s, %v", out, err)
		}
	}
	for _, text := range []string{"geheim", "*12", "sha2:zz", "salted:12:34", "salted:"} {
		if _, err := ParseSecret(text); err == nil || strings.Contains(err.Error(), "geheim") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Text and prepared statements, with and without the server's newer ways, through a driver that nobody here wrote.
func TestTheDriverAsksInEveryWay(t *testing.T) {
	for name, caps := range map[string]uint32{"all": ServerCaps, "no DEPRECATE_EOF": ServerCaps &^ ClientDeprecateEOF,
		"no attributes": ServerCaps &^ (ClientQueryAttributes | ClientSessionTrack)} {
		s := newServer(t, map[string]string{"u": ""})
		s.caps = caps
		db := open(t, s, "u", "")
		db.SetMaxOpenConns(1)
		var got string
		if err := db.QueryRow("SELECT 'a'").Scan(&got); err != nil || got != "SELECT 'a'" {
			t.Errorf("%s: text: %q, %v", name, got, err)
		}
		when := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
		for range 2 { // the second execution brings no new types in some clients
			err := db.QueryRow("SELECT ?, ?, ?, ?, ?", 42, "text", nil, 1.5, when).Scan(&got)
			if err != nil || got != "SELECT ?, ?, ?, ?, ?|42|text|NULL|1.5|?" && !strings.HasPrefix(got, "SELECT ?, ?, ?, ?, ?|42|text|NULL|1.5|2026") {
				t.Errorf("%s: prepared: %q, %v", name, got, err)
			}
		}
		// The driver sends large values in pieces.
		if err := db.QueryRow("SELECT ?", strings.Repeat("long", 60_000)).Scan(&got); err != nil && !strings.Contains(err.Error(), "packet") {
			t.Errorf("%s: long: %v", name, err)
		}
		if r, err := db.Exec("UPDATE state"); err != nil {
			t.Errorf("%s: exec: %v", name, err)
		} else if n, _ := r.RowsAffected(); n != 1 {
			t.Errorf("%s: %d rows", name, n)
		}
		var bad *driver.MySQLError
		if _, err := db.Exec("BAD"); !errors.As(err, &bad) || bad.Number != ErrParse || string(bad.SQLState[:]) != "42000" {
			t.Errorf("%s: error: %v", name, err)
		}
		if err := db.Ping(); err != nil {
			t.Errorf("%s: behind an error: %v", name, err)
		}
		inline := open(t, s, "u", "interpolateParams=true")
		if err := inline.QueryRow("SELECT ?", "x'y").Scan(&got); err != nil || !strings.Contains(got, `x\'y`) {
			t.Errorf("%s: interpolated: %q, %v", name, got, err)
		}
	}
}

func TestWhatErrorsMean(t *testing.T) {
	for e, want := range map[ServerError]Outcome{{Number: 1290}: Miss, {Number: 1792}: Miss, {Number: 1836}: Miss, {Number: 1644, State: "72000"}: Miss,
		{Number: 1644, State: "45000"}: MayHaveRun, {Number: 1040}: TurnedAway, {Number: 1203}: TurnedAway, {Number: 3159}: TurnedAway,
		{Number: 1053}: TurnedAway, {Number: 1243}: Forgotten, {Number: 1064}: Unfit, {Number: 1210}: Unfit, {Number: 1461}: Unfit,
		{Number: 1047}: Unfit, {Number: 1153}: Unfit, {Number: 1835}: Unfit, {Number: 1105}: MayHaveRun, {Number: 2013}: MayHaveRun, {Number: 1317}: MayHaveRun} {
		if got := OutcomeOf(&e); got != want {
			t.Errorf("%d: %d, want %d", e.Number, got, want)
		}
	}
}

func TestAPacketOver16MiBIsRefusedByItsHead(t *testing.T) {
	for _, size := range []int{MaxPacket + 1, 1<<24 - 1} {
		if _, _, _, err := Next([]byte{byte(size), byte(size >> 8), byte(size >> 16), 0}, MaxPacket); err != ErrTooLarge {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
}

var cuts = rapid.SliceOf(rapid.IntRange(1, 40))

// feed gives the parser a stream in pieces, as a connection would.
func feed(stream []byte, cuts []int, take func(body []byte, seq byte) error) error {
	var buf []byte
	for at := 0; at < len(stream); {
		n := len(stream) - at
		if len(cuts) > 0 {
			n, cuts = min(cuts[0], n), cuts[1:]
		}
		buf, at = append(buf, stream[at:at+n]...), at+n
		for {
			body, seq, n, err := Next(buf, MaxPacket)
			if err != nil {
				return err
			}
			if n == 0 {
				break
			}
			if err := take(body, seq); err != nil {
				return err
			}
			buf = buf[n:]
		}
	}
	if len(buf) > 0 {
		return fmt.Errorf("%d bytes are left", len(buf))
	}
	return nil
}

// An answer in any cuts, from a server with any capabilities, passed on to a client with any others, reads the same.
func TestAnswersInAnyCutsBetweenAnyPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := uint32(ClientProtocol41) | rapid.SampledFrom([]uint32{0, ClientDeprecateEOF, ClientSessionTrack, ClientDeprecateEOF | ClientSessionTrack}).Draw(t, "server")
		to := uint32(ClientProtocol41) | rapid.SampledFrom([]uint32{0, ClientDeprecateEOF, ClientDeprecateEOF | ClientSessionTrack}).Draw(t, "client")
		word := rapid.StringMatching(`[a-z]{0,300}`)
		names := rapid.SliceOfN(word, 1, 4).Draw(t, "names")
		r := Reply{IsResult: true}
		for _, n := range names {
			r.Columns = append(r.Columns, AppendColumn(nil, 0, n, TypeVarString)[headLen:])
		}
		for range rapid.IntRange(0, 5).Draw(t, "rows") {
			r.Rows = append(r.Rows, AppendTextRow(nil, 0, rapid.SliceOfN(word, len(names), len(names)).Draw(t, "row")...)[headLen:])
		}
		pass := func(r *Reply, caps uint32) *Reply {
			var out Reply
			out.Expect(caps, false)
			if err := feed(r.AppendTo(nil, 1, caps), cuts.Draw(t, "cuts"), out.Add); err != nil || !out.Whole() {
				t.Fatalf("%+v, %v", out, err)
			}
			return &out
		}
		got := pass(pass(&r, from), to)
		if !reflect.DeepEqual(got.Columns, r.Columns) || len(got.Rows) != len(r.Rows) || len(r.Rows) > 0 && !reflect.DeepEqual(got.Rows, r.Rows) {
			t.Fatalf("%+v", got)
		}
	})
}

// What is relayed reads as what is taken apart and written again; what a server tells of itself stays behind.
func TestRelayedAnswersReadTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := uint32(ClientProtocol41 | ClientDeprecateEOF | ClientSessionTrack)
		to := uint32(ClientProtocol41) | rapid.SampledFrom([]uint32{0, ClientDeprecateEOF, ClientDeprecateEOF | ClientSessionTrack}).Draw(t, "client")
		names := rapid.SliceOfN(rapid.StringMatching(`[a-z]{0,300}`), 1, 4).Draw(t, "names")
		answer := AppendPacket(nil, 1, []byte{byte(len(names))})
		seq := byte(2)
		for _, n := range names {
			answer = AppendColumn(answer, seq, n, TypeVarString)
			seq++
		}
		for range rapid.IntRange(0, 400).Draw(t, "rows") { // also beyond one round of sequence numbers
			answer = AppendTextRow(answer, seq, names...)
			seq++
		}
		answer = AppendOK(answer, seq, OK{Warnings: 3}, from, true, VarRole, RolePrimary, VarPosition, "77")
		var whole Reply
		whole.Expect(from, false)
		if err := feed(answer, nil, whole.Add); err != nil || whole.OK.Role != RolePrimary || whole.OK.Position != 77 {
			t.Fatalf("%+v, %v", whole.OK, err)
		}
		out, ok := Relay(nil, answer, to)
		if ok != (to&ClientDeprecateEOF != 0) {
			t.Fatal("relayed to a client of another form, or not to one of the same")
		}
		if ok && !bytes.Equal(out, whole.AppendTo(nil, 1, to)) {
			t.Fatalf("%x\n%x", out, whole.AppendTo(nil, 1, to))
		}
	})
	for _, none := range [][]byte{nil, AppendOK(nil, 1, OK{}, ServerCaps, false), AppendErr(nil, 1, ErrParse, "x"), {1, 0, 0, 1, 1}, {9, 0, 0, 1, 1}} {
		if _, ok := Relay(nil, none, ServerCaps); ok {
			t.Errorf("%x is relayed", none)
		}
	}
}

// One parameter goes out with another number, in the form that it had; the others stay as they were.
func TestOneParameterGoesOutWithAnotherNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := Execute{Nulls: make([]byte, 2)}
		n := rapid.IntRange(1, 9).Draw(t, "params")
		var want []string
		for i := range n {
			kind := rapid.SampledFrom([]byte{TypeLongLong, TypeLong, TypeShort, TypeVarString, TypeDouble, TypeDate, TypeNull}).Draw(t, "type")
			x.Types = append(x.Types, kind, 0)
			switch w := width(kind); {
			case kind == TypeNull:
				x.Nulls[i/8] |= 1 << (i % 8)
			case kind == TypeDate:
				x.Rest = append(x.Rest, 4, 1, 2, 3, 4)
			case w > 0:
				x.Rest = append(x.Rest, rapid.SliceOfN(rapid.Byte(), w, w).Draw(t, "value")...)
			default:
				x.Rest = appendLenStr(x.Rest, rapid.StringN(0, 300, 300).Draw(t, "text"))
			}
		}
		x.Nulls = x.Nulls[:(n+7)/8]
		read := func(x *Execute) Execute {
			body, _, _, err := Next(AppendExecute(nil, 7, n, x, 0), MaxPacket)
			if err != nil {
				t.Fatal(err)
			}
			got, err := ParseExecute(body, n, nil, 0, nil)
			if err != nil {
				t.Fatal(err)
			}
			return got
		}
		before := read(&x)
		for _, v := range before.Values {
			s, _ := v.Text()
			want = append(want, s)
		}
		before.Sets, before.Param, before.Number = true, rapid.IntRange(0, n-1).Draw(t, "which"), rapid.Int64Range(1, 30000).Draw(t, "number")
		switch k := x.Types[2*before.Param]; k {
		case TypeLongLong, TypeLong, TypeShort, TypeVarString:
			want[before.Param] = fmt.Sprint(before.Number)
		}
		after := read(&before)
		for i, v := range after.Values {
			if s, _ := v.Text(); s != want[i] {
				t.Fatalf("parameter %d of type %#x is %q, want %q", i, v.Type, s, want[i])
			}
		}
	})
}

func TestOKTellsRoleAndPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		caps := uint32(ClientProtocol41 | ClientSessionTrack)
		ends := rapid.Bool().Draw(t, "ends")
		at := rapid.Int64Range(0, 1<<52).Draw(t, "at")
		body, _, _, _ := Next(AppendOK(nil, 3, OK{Affected: rapid.Uint64().Draw(t, "n"), Info: "i"}, caps, ends, VarRole, "replica", VarPosition, fmt.Sprint(at)), MaxPacket)
		ok, err := ParseOK(body, caps)
		if err != nil || ok.Role != RoleReplica || ok.Position != at || ok.Info != "i" {
			t.Fatalf("%+v, %v", ok, err)
		}
	})
	for _, bad := range []string{"-1", "x", "99999999999999999999", "9007199254740993"} {
		if at := positionOf(bad); at != 0 {
			t.Errorf("%s is taken for %d", bad, at)
		}
	}
}

// What a bad server sends is an error at its first wrong packet.
func TestAnswersThatMakeNoSense(t *testing.T) {
	column, row := AppendColumn(nil, 0, "c", TypeVarString)[headLen:], []byte{1, 'x'}
	caps := uint32(ClientProtocol41 | ClientDeprecateEOF)
	okBody := AppendOK(nil, 0, OK{}, caps, false)[headLen:]
	endBody := AppendOK(nil, 0, OK{}, caps, true)[headLen:]
	many := [][]byte{{1}, column}
	for range 3 * MaxAnswer / 1000 {
		many = append(many, make([]byte, 1000))
		many[len(many)-1][0] = 1
	}
	for name, packets := range map[string][][]byte{
		"a row in a definition's place": {{2}, column, row, endBody},
		"a definition in a row's place": {{1}, column, column, endBody},
		"a row with bytes left over":    {{1}, column, {1, 'x', 'y'}},
		"a row that is cut off":         {{1}, column, {5, 'x'}},
		"noise":                         {{0xfb, 1, 2}},
		"a file is asked for":           {{0xfb}},
		"no columns":                    {{0}},
		"columns beyond number":         {{0xfc, 0xff, 0xff}},
		"an empty packet":               {{1}, {}},
		"a second copy":                 {okBody, okBody},
		"a copy behind its rows":        {{1}, column, row, endBody, {1}},
		"without end":                   many,
	} {
		var r Reply
		r.Expect(caps, false)
		var err error
		for i, p := range packets {
			if err = r.Add(p, byte(i+1)); err != nil {
				break
			}
		}
		if err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	var r Reply
	r.Expect(caps, false)
	if err := r.Add(okBody, 2); err != ErrSequence {
		t.Errorf("out of order: %v", err)
	}
}

func TestGarbageIsAnErrorAndNoPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { parseAll(rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "junk")) })
}

// parseAll gives junk to every parser.
func parseAll(junk []byte) {
	for _, caps := range []uint32{ClientProtocol41, ServerCaps} {
		ParseErr(junk)
		ParseOK(junk, caps)
		ParseLogin(junk)
		ParseHandshake(junk)
		ParseAuthSwitch(junk)
		ParseChangeUser(junk, caps)
		ParseQuery(junk, caps)
		ParseLongData(junk)
		for _, params := range []int{0, 1, 3, 9} {
			x, err := ParseExecute(junk, params, nil, caps, nil)
			if err == nil {
				for _, v := range x.Values {
					v.Text()
				}
				AppendExecute(nil, 1, params, &x, caps)
			}
		}
		for _, prepare := range []bool{false, true} {
			var r Reply
			r.Expect(caps, prepare)
			seq := byte(1)
			for rest := junk; len(rest) > 0; seq++ { // cut into packets by its own bytes
				n := min(int(rest[0])%24+1, len(rest))
				if r.Add(rest[:n], seq) != nil {
					break
				}
				rest = rest[n:]
			}
			if r.Whole() {
				r.AppendTo(nil, 1, caps)
			}
		}
	}
}

func FuzzParsers(f *testing.F) {
	f.Add(AppendLogin(nil, 1, Login{Caps: ServerCaps, User: "u", Auth: make([]byte, 32), Database: "core", Plugin: CachingSHA2})[headLen:])
	f.Add(AppendHandshake(nil, Handshake{Version: "8", Scramble: make([]byte, ScrambleLen), Caps: ServerCaps, Plugin: CachingSHA2})[headLen:])
	f.Add(AppendOK(nil, 1, OK{Info: "i"}, ServerCaps, true, VarRole, "primary")[headLen:])
	f.Add(AppendErr(nil, 1, ErrParse, "x")[headLen:])
	f.Add(AppendExecute(nil, 1, 2, &Execute{Nulls: []byte{1}, Types: []byte{TypeLong, 0, TypeVarString, 0}, Rest: []byte{1, 'x'}}, ServerCaps)[headLen:])
	f.Add([]byte{0x16, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0})
	f.Fuzz(func(_ *testing.T, junk []byte) { parseAll(junk) })
}

// What a database sends, as a stream: whatever is taken for an answer reads the same once it has been written for a client
// of any form, and nothing more is kept than the bound allows.
func FuzzAnswers(f *testing.F) {
	column := AppendColumn(nil, 0, "val", TypeVarString)[headLen:]
	text := Reply{IsResult: true, Columns: [][]byte{column}, Rows: [][]byte{AppendTextRow(nil, 0, "value")[headLen:]}}
	f.Add(text.AppendTo(nil, 1, ServerCaps), uint8(0))
	f.Add(text.AppendTo(nil, 1, ClientProtocol41), uint8(4))
	binary := Reply{IsResult: true, Columns: [][]byte{column}, Rows: [][]byte{AppendBinaryRow(nil, 0, "value")[headLen:]}}
	f.Add(binary.AppendTo(nil, 1, ServerCaps), uint8(2))
	f.Add(AppendPrepared(nil, 1, Prepared{1, 1, 1}, [][]byte{column}, [][]byte{column}, ServerCaps), uint8(1))
	f.Add(AppendOK(nil, 1, OK{Info: "i"}, ServerCaps, false, VarRole, RolePrimary, VarPosition, "1767225600123"), uint8(0))
	f.Add(AppendErr(nil, 1, ErrReadOnly, "x"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, how uint8) {
		caps := uint32(ServerCaps)
		if how&4 != 0 {
			caps &^= ClientDeprecateEOF | ClientSessionTrack
		}
		expect := func(r *Reply, caps uint32) {
			if r.Expect(caps, how&1 != 0); how&2 != 0 {
				r.Binary()
			}
		}
		var r Reply
		expect(&r, caps)
		used := 0
		for !r.Whole() {
			body, seq, n, err := Next(stream[used:], MaxPacket)
			if n == 0 || err != nil || r.Add(body, seq) != nil {
				return
			}
			used += n
		}
		if r.size > MaxAnswer {
			t.Fatal("more is kept than may be")
		}
		for _, to := range []uint32{ServerCaps, ClientProtocol41} {
			out := r.AppendTo(nil, 1, to)
			var again Reply
			expect(&again, to)
			if err := feed(out, nil, again.Add); err != nil || !again.Whole() {
				t.Fatalf("written for %x it reads %v", to, err)
			}
			if (again.Err == nil) != (r.Err == nil) {
				t.Fatalf("written for %x it is %v", to, again.Err)
			}
			if r.Err == nil && (!reflect.DeepEqual(again.Rows, r.Rows) || !reflect.DeepEqual(again.Columns, r.Columns)) {
				t.Fatalf("written for %x it is another", to)
			}
			if relayed, ok := Relay(nil, stream[:used], to); ok && caps == ServerCaps && r.IsResult && r.Err == nil && !bytes.Equal(relayed, out) {
				t.Fatalf("relayed for %x it is another", to)
			}
		}
	})
}

func BenchmarkReply(b *testing.B) {
	r := Reply{IsResult: true, Columns: [][]byte{AppendColumn(nil, 0, "val", TypeVarString)[headLen:]}, Rows: [][]byte{AppendTextRow(nil, 0, "value")[headLen:]}}
	stream := r.AppendTo(nil, 1, ServerCaps)
	var got Reply
	out := make([]byte, 0, 1024)
	b.ReportAllocs()
	for b.Loop() {
		got.Expect(ServerCaps, false)
		feed(stream, nil, got.Add)
		out = got.AppendTo(out[:0], 1, ServerCaps)
	}
}

func BenchmarkRelay(b *testing.B) {
	r := Reply{IsResult: true, Columns: [][]byte{AppendColumn(nil, 0, "val", TypeVarString)[headLen:]}, Rows: [][]byte{AppendTextRow(nil, 0, "value")[headLen:]}}
	stream := r.AppendTo(nil, 1, ServerCaps)
	var got Reply
	out := make([]byte, 0, 1024)
	b.ReportAllocs()
	for b.Loop() {
		got.Expect(ServerCaps, false)
		got.Skim()
		for at := 0; at < len(stream); {
			body, seq, n, _ := Next(stream[at:], MaxPacket)
			got.Add(body, seq)
			at += n
		}
		out, _ = Relay(out[:0], stream, ServerCaps)
	}
}

// TestUserNamesAreBounded guards against a table of failed logins that grows by the length of the names that clients choose.
func TestUserNamesAreBounded(t *testing.T) {
	for length, fits := range map[int]bool{maxUser: true, maxUser + 1: false, 4000: false} {
		name := strings.Repeat("u", length)
		login := AppendLogin(nil, 1, Login{Caps: ServerCaps, User: name, Plugin: CachingSHA2})
		if _, err := ParseLogin(login[headLen:]); (err == nil) != fits {
			t.Errorf("a login with a name of %d bytes: %v", length, err)
		}
		change := append(append([]byte{ComChangeUser}, name...), 0, 0, 0)
		if _, err := ParseChangeUser(change, ServerCaps); (err == nil) != fits {
			t.Errorf("a change to a name of %d bytes: %v", length, err)
		}
	}
	if _, err := ParseChangeUser(make([]byte, maxLogin+1), ServerCaps); err != ErrTooLarge {
		t.Errorf("a change of %d bytes: %v", maxLogin+1, err)
	}
}
