package run

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"havenproxy/internal/net"
	"havenproxy/internal/operator"
	"havenproxy/internal/wire/mysql"
)

// mysqlUsers parses the secrets of the MySQL users.
func mysqlUsers(m *operator.MySQL) (map[string]mysql.Secret, error) {
	users := map[string]mysql.Secret{}
	for name, text := range m.Users {
		secret, err := mysql.ParseSecret(text)
		if err != nil {
			return nil, fmt.Errorf("mysql: user %q: %w", name, err)
		}
		users[name] = secret
	}
	return users, nil
}

// listenMySQL opens the MySQL listener if m is not nil.
func (p *proxy) listenMySQL(m *operator.MySQL) error {
	if m == nil {
		return nil
	}
	users, err := mysqlUsers(m)
	if err != nil {
		return err
	}
	p.mysql = &net.MySQLOptions{Users: users}
	go func() { // generating the key takes tenths of a second, which must not delay the start; it is always needed, since a reload may add users
		key, err := mysql.NewKey()
		if err != nil {
			slog.Error("can't generate the key for MySQL full authentication", "error", err)
			return
		}
		p.loop.Post(func() { p.mysql.Key = key })
	}()
	if m.PasswordFile != "" {
		text, err := os.ReadFile(m.PasswordFile)
		if err != nil {
			return fmt.Errorf("mysql: %w", err)
		}
		p.databases.MySQLPassword = strings.TrimRight(string(text), "\r\n")
	}
	p.databases.MySQLUser = m.ServerUser
	p.databases.MySQL = func(group int) bool { return m.Groups == nil || m.Groups[group] }
	if err := p.server.ListenMySQL(m.Listen, p.mysql); err != nil {
		return err
	}
	slog.Info("listening for MySQL clients", "listen", p.server.MySQLAddress(), "users", len(users))
	return nil
}
