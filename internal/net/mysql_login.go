package net

import (
	"crypto/rand"
	"fmt"
	stdnet "net"
	"time"

	"havenproxy/internal/state/logins"
	"havenproxy/internal/state/prepared"
	"havenproxy/internal/wire/mysql"
)

// busyChecking is when a client is told to return for whom no check of a password is free.
const busyChecking = time.Second

// MySQLOptions is what MySQL's front needs.
type MySQLOptions struct {
	Users map[string]mysql.Secret // empty = anyone, without a password
	Key   *mysql.Key              // for full exchanges; nil = it isn't there yet
}

// ListenMySQL opens an address for MySQL's clients.
func (s *Server) ListenMySQL(address string, o *MySQLOptions) error {
	front := &mysqlFront{options: o, cached: map[string]fullLogin{}, guard: logins.New(logins.Config{}),
		shapes: prepared.NewMetadataCache(keptShapes, shapeRoom, shapeKeep), room: prepared.NewBudget(maxAllTexts), checking: make(chan struct{}, 1)}
	err := s.listen(address, func() speaker {
		return &mysqlSpeaker{front: front, share: front.room.NewShare(maxStatements, maxTexts), statements: map[uint32]*mysqlStatement{}}
	})
	if err == nil {
		s.mysql = s.listeners[len(s.listeners)-1]
	}
	return err
}

// MySQLAddress tells where MySQL's clients are listened for; empty = nowhere.
func (s *Server) MySQLAddress() string {
	if s.mysql == nil {
		return ""
	}
	return s.mysql.Addr().String()
}

// mysqlFront is what all MySQL clients share.
type mysqlFront struct {
	options  *MySQLOptions
	cached   map[string]fullLogin // of users who went through a full exchange
	guard    *logins.Guard
	checking chan struct{} // one check of a password at a time, beside the loop
	shapes   *prepared.MetadataCache
	room     *prepared.Budget // for all clients' statements
	last     uint32
}

// fullLogin is what a full exchange has shown: the secret that it was checked against, and the one for the fast path. Once
// the operator has changed the first, the second is worth nothing.
type fullLogin struct{ against, fast mysql.Secret }

type loginPhase uint8

const (
	loginFirst loginPhase = iota
	loginSwitched
	loginKey // it may ask for the key
	loginSealed
	loginChecking // its password is looked at beside the loop; nothing more is read
	loginDone
)

func (m *mysqlSpeaker) newScramble() {
	m.scramble = make([]byte, mysql.ScrambleLen)
	rand.Read(m.scramble)
	for i := range m.scramble { // clients take it for a text
		m.scramble[i] = m.scramble[i]%94 + 33
	}
}

func (m *mysqlSpeaker) send(c *client, add func(dst []byte, seq byte) []byte) {
	out := add(nil, m.seq)
	c.write(out)
	m.seq++
}

func (m *mysqlSpeaker) login(c *client, body []byte) error {
	switch m.phase {
	case loginFirst:
		l, err := mysql.ParseLogin(body)
		if err != nil {
			return err
		}
		m.caps, m.user = l.Caps&mysql.ServerCaps, l.User
		return m.check(c, l.Plugin, l.Auth)
	case loginSwitched:
		secret := m.secret()
		return m.check(c, secret.Plugin(), body)
	case loginKey:
		if !mysql.AsksKey(body) {
			return m.denied(c) // a password in clear, which nobody should send here
		}
		m.phase = loginSealed
		m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, m.front.options.Key.PEM()) })
		return nil
	}
	m.open(c, append([]byte(nil), body...))
	return nil
}

// who tells the guard who tries.
func (m *mysqlSpeaker) who(c *client) logins.Login {
	host, _, _ := stdnet.SplitHostPort(c.from)
	return logins.Login{Peer: host, User: m.user}
}

// denied ends a login that was wrong.
func (m *mysqlSpeaker) denied(c *client) error {
	m.front.guard.Failed(c.s.clock.Now(), m.who(c))
	return errDenied
}

func (m *mysqlSpeaker) notNow(c *client, why string, wait time.Duration) {
	c.s.front.Counters.ClientsRejected++
	c.leave(endTooOften, fmt.Sprintf("%s; come again after %d ms", why, (wait+time.Millisecond-1)/time.Millisecond))
}

// open checks a password that came sealed. Opening it and hashing it take milliseconds, which the loop doesn't have.
func (m *mysqlSpeaker) open(c *client, sealed []byte) {
	who := m.who(c)
	if !m.front.guard.StartCheck(who.Peer) {
		m.notNow(c, "too many logins at once", busyChecking)
		return
	}
	m.phase = loginChecking
	key, scramble, secret := m.front.options.Key, m.scramble, m.front.options.Users[m.user]
	go func() {
		m.front.checking <- struct{}{}
		password, err := key.Open(sealed, scramble)
		fast, ok := mysql.Secret{}, false
		if err == nil {
			fast, ok = secret.Full(password)
		}
		<-m.front.checking
		c.s.loop.Post(func() {
			m.front.guard.EndCheck(who.Peer)
			if ok { // no more than there are users
				m.front.cached[who.User] = fullLogin{secret, fast}
			}
			if c.phase >= phaseLeaving {
				return
			}
			if ok {
				m.welcome(c)
			} else {
				c.malformed(m.denied(c))
			}
			c.parse()
		})
	}()
}

// secret is that of the user who logs in; an unknown one has one that nothing fits.
func (m *mysqlSpeaker) secret() mysql.Secret {
	if len(m.front.options.Users) == 0 {
		return mysql.Secret{}
	}
	s, ok := m.front.options.Users[m.user]
	if !ok {
		return mysql.Secret{Kind: mysql.SecretSHA2}
	}
	if full, ok := m.front.cached[m.user]; ok && full.against.Equal(&s) {
		return full.fast
	}
	return s
}

func (m *mysqlSpeaker) check(c *client, plugin string, auth []byte) error {
	if len(m.front.options.Users) == 0 {
		m.welcome(c)
		return nil
	}
	if wait, ok := m.front.guard.Allow(c.s.clock.Now(), m.who(c)); !ok {
		m.notNow(c, "too many logins have failed", wait)
		return nil
	}
	secret := m.secret()
	if plugin != secret.Plugin() {
		if m.phase == loginSwitched {
			return m.denied(c)
		}
		m.phase = loginSwitched
		m.send(c, func(dst []byte, seq byte) []byte {
			return mysql.AppendAuthSwitch(dst, seq, secret.Plugin(), m.scramble)
		})
		return nil
	}
	switch {
	case secret.Fast(m.scramble, auth):
		if secret.Kind == mysql.SecretSHA2 {
			m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, mysql.FastOK) })
		}
		m.welcome(c)
		return nil
	case secret.Kind == mysql.SecretSalted && len(auth) > 0 && m.front.options.Key == nil:
		m.notNow(c, "logins are not ready yet", busyChecking)
		return nil
	case secret.Kind == mysql.SecretSalted && len(auth) > 0:
		m.phase = loginKey
		m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, mysql.FullNeeded) })
		return nil
	}
	return m.denied(c)
}

// changeUser logs another user in on a connection that is up, by a scramble of its own: an answer to the first one, which
// somebody may have heard, is of no use. The client has as long for it as for its first login.
func (m *mysqlSpeaker) changeUser(c *client, user string) error {
	m.user, m.phase = user, loginFirst
	m.newScramble()
	m.changing, c.asked = true, false
	c.s.deadlines.Set(&c.timer, c.s.clock.Now()+queryPatience, c.tooSlow)
	return m.check(c, "", nil)
}

func (m *mysqlSpeaker) welcome(c *client) {
	if len(m.front.options.Users) > 0 {
		m.front.guard.Succeeded(m.who(c))
	}
	if m.changing {
		c.spoke()
	}
	m.phase, m.changing = loginDone, false
	m.ok(c)
}

func (m *mysqlSpeaker) ok(c *client) {
	m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendOK(dst, seq, mysql.OK{}, m.caps, false) })
}
