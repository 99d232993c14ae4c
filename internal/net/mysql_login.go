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

// loginRetryAfter is the time after which a client is asked to retry when no password check can be started.
const loginRetryAfter = time.Second

// MySQLOptions configures the listener for MySQL clients.
type MySQLOptions struct {
	Users map[string]mysql.Secret // empty = anyone, without a password
	Key   *mysql.Key              // for full authentication exchanges; nil = not available yet
}

// ListenMySQL opens an address for MySQL clients.
func (s *Server) ListenMySQL(address string, o *MySQLOptions) error {
	engine := &mysqlShared{options: o, fullLogins: map[string]fullLogin{}, guard: logins.New(logins.Config{}),
		metadata: prepared.NewMetadataCache(maxCachedMetadata, maxMetadataBytes, metadataLifetime), statementBudget: prepared.NewBudget(maxTotalStatementBytes), checkSlot: make(chan struct{}, 1)}
	err := s.listen(address, func() clientProtocol {
		return &mysqlProtocol{shared: engine, budgetShare: engine.statementBudget.NewShare(maxStatements, maxStatementBytes), statements: map[uint32]*mysqlStatement{}}
	})
	if err == nil {
		s.mysql = s.listeners[len(s.listeners)-1]
	}
	return err
}

// MySQLAddress returns the address that MySQL clients connect to; empty = there is none.
func (s *Server) MySQLAddress() string {
	if s.mysql == nil {
		return ""
	}
	return s.mysql.address.String()
}

// mysqlShared is the state that all MySQL clients share.
type mysqlShared struct {
	options          *MySQLOptions
	fullLogins       map[string]fullLogin // of users who completed a full authentication exchange
	guard            *logins.Guard
	checkSlot        chan struct{} // one password check at a time, outside the loop
	metadata         *prepared.MetadataCache
	statementBudget  *prepared.Budget // for all clients' statements
	lastConnectionID uint32
}

// fullLogin is the result of a full authentication exchange: the secret that the password was checked against and the
// one for the fast path. The second becomes invalid when the operator changes the first.
type fullLogin struct{ checkedSecret, fastSecret mysql.Secret }

type loginPhase uint8

const (
	loginFirst loginPhase = iota
	loginAuthSwitched
	loginKeyExchange // the client may request the public key
	loginSealedPassword
	loginChecking // its password is being checked outside the loop; no more input is read
	loginDone
)

func (m *mysqlProtocol) newScramble() {
	m.scramble = make([]byte, mysql.ScrambleLen)
	rand.Read(m.scramble)
	for i := range m.scramble { // clients treat it as text
		m.scramble[i] = m.scramble[i]%94 + 33
	}
}

func (m *mysqlProtocol) send(c *client, add func(dst []byte, seq byte) []byte) {
	output := add(nil, m.sequence)
	c.write(output)
	m.sequence++
}

func (m *mysqlProtocol) login(c *client, body []byte) error {
	switch m.phase {
	case loginFirst:
		l, err := mysql.ParseLogin(body)
		if err != nil {
			return err
		}
		m.capabilities, m.user = l.Caps&mysql.ServerCaps, l.User
		return m.checkAuth(c, l.Plugin, l.Auth)
	case loginAuthSwitched:
		secret := m.secret()
		return m.checkAuth(c, secret.Plugin(), body)
	case loginKeyExchange:
		if !mysql.AsksKey(body) {
			return m.denyLogin(c) // a cleartext password, which must not be sent here
		}
		m.phase = loginSealedPassword
		m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, m.shared.options.Key.PEM()) })
		return nil
	}
	m.checkSealedPassword(c, append([]byte(nil), body...))
	return nil
}

// loginID returns the peer and user by which the guard counts logins.
func (m *mysqlProtocol) loginID(c *client) logins.Login {
	peer, _, _ := stdnet.SplitHostPort(c.remoteAddress)
	return logins.Login{Peer: peer, User: m.user}
}

// denyLogin records a failed login and returns its error.
func (m *mysqlProtocol) denyLogin(c *client) error {
	m.shared.guard.Failed(c.server.clock.Now(), m.loginID(c))
	return errAccessDenied
}

func (m *mysqlProtocol) rejectLogin(c *client, reason string, wait time.Duration) {
	c.server.engine.Counters.ClientsRejected++
	c.closeWithError(reasonTooManyLogins, fmt.Sprintf("%s; come again after %d ms", reason, (wait+time.Millisecond-1)/time.Millisecond))
}

// checkSealedPassword checks an encrypted password. Decrypting and hashing it take milliseconds, so they run outside
// the loop.
func (m *mysqlProtocol) checkSealedPassword(c *client, sealed []byte) {
	login := m.loginID(c)
	if !m.shared.guard.StartCheck(login.Peer) {
		m.rejectLogin(c, "too many logins at once", loginRetryAfter)
		return
	}
	m.phase = loginChecking
	key, scramble, secret := m.shared.options.Key, m.scramble, m.shared.options.Users[m.user]
	go func() {
		m.shared.checkSlot <- struct{}{}
		password, err := key.Open(sealed, scramble)
		fast, ok := mysql.Secret{}, false
		if err == nil {
			fast, ok = secret.Full(password)
		}
		<-m.shared.checkSlot
		c.server.loop.Post(func() {
			m.shared.guard.EndCheck(login.Peer)
			if ok { // at most one entry for each user
				m.shared.fullLogins[login.User] = fullLogin{secret, fast}
			}
			if c.phase >= phaseClosing {
				return
			}
			if ok {
				m.acceptLogin(c)
			} else {
				c.closeMalformed(m.denyLogin(c))
			}
			c.server.scheduleInput(c)
		})
	}()
}

// secret returns the secret of the user who logs in; for an unknown user, one that no password matches.
func (m *mysqlProtocol) secret() mysql.Secret {
	if len(m.shared.options.Users) == 0 {
		return mysql.Secret{}
	}
	s, ok := m.shared.options.Users[m.user]
	if !ok {
		return mysql.Secret{Kind: mysql.SecretSHA2}
	}
	if full, ok := m.shared.fullLogins[m.user]; ok && full.checkedSecret.Equal(&s) {
		return full.fastSecret
	}
	return s
}

func (m *mysqlProtocol) checkAuth(c *client, plugin string, auth []byte) error {
	if len(m.shared.options.Users) == 0 {
		m.acceptLogin(c)
		return nil
	}
	if wait, ok := m.shared.guard.Allow(c.server.clock.Now(), m.loginID(c)); !ok {
		m.rejectLogin(c, "too many logins have failed", wait)
		return nil
	}
	secret := m.secret()
	if plugin != secret.Plugin() {
		if m.phase == loginAuthSwitched {
			return m.denyLogin(c)
		}
		m.phase = loginAuthSwitched
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
		m.acceptLogin(c)
		return nil
	case secret.Kind == mysql.SecretSalted && len(auth) > 0 && m.shared.options.Key == nil:
		m.rejectLogin(c, "logins are not ready yet", loginRetryAfter)
		return nil
	case secret.Kind == mysql.SecretSalted && len(auth) > 0:
		m.phase = loginKeyExchange
		m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendAuthMore(dst, seq, mysql.FullNeeded) })
		return nil
	}
	return m.denyLogin(c)
}

// changeUser logs another user in on an existing connection, with a new scramble: an answer to the first one, which
// may have been intercepted, must not be valid again. The client has as long for it as for its first login.
func (m *mysqlProtocol) changeUser(c *client, user string) error {
	m.user, m.phase = user, loginFirst
	m.newScramble()
	m.changingUser, c.hasQueried = true, false
	c.startQueryTimer()
	return m.checkAuth(c, "", nil)
}

func (m *mysqlProtocol) acceptLogin(c *client) {
	if len(m.shared.options.Users) > 0 {
		m.shared.guard.Succeeded(m.loginID(c))
	}
	if m.changingUser {
		c.noteQuery()
	}
	m.phase, m.changingUser = loginDone, false
	m.sendOK(c)
}

func (m *mysqlProtocol) sendOK(c *client) {
	m.send(c, func(dst []byte, seq byte) []byte { return mysql.AppendOK(dst, seq, mysql.OK{}, m.capabilities, false) })
}
