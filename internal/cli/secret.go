package cli

import (
	"bufio"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"havenproxy/internal/wire/mysql"
)

// saltLength is the length of a salt in bytes.
const saltLength = 16

func secretCommand() *cobra.Command {
	var kind string
	c := &cobra.Command{
		Use:   "secret",
		Short: "Make the secret of a MySQL user for the operator's file; reads the password from standard input",
		Long: "secret reads a password, one line of standard input, and prints the value that represents it in mysql(users = {...}).\n" +
			"The password itself is never printed. Kinds:\n" +
			"  salted  a slow, salted hash; a user's first login needs a full exchange, the next ones are fast\n" +
			"  sha2    the value that caching_sha2_password compares; without a salt, so reading the file is as good as knowing the password\n" +
			"  native  for clients that support only mysql_native_password; like sha2, and weaker",
		Example: "  havenproxy secret\n  printf '%s\\n' \"$PASSWORD\" | havenproxy secret --kind sha2",
		Args:    noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			password, err := readPassword(c.InOrStdin(), c.ErrOrStderr())
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			switch kind {
			case "salted":
				salt := make([]byte, saltLength)
				rand.Read(salt)
				fmt.Fprintln(c.OutOrStdout(), mysql.HashSalted(password, salt))
			case "sha2":
				fmt.Fprintln(c.OutOrStdout(), mysql.HashSHA2(password))
			case "native":
				fmt.Fprintln(c.OutOrStdout(), mysql.HashNative(password))
			default:
				return fmt.Errorf("%w: --kind is %q, salted, sha2 or native was expected", errUsage, kind)
			}
			return nil
		},
	}
	c.Flags().StringVar(&kind, "kind", "salted", "kind of secret: salted, sha2 or native")
	return c
}

// readPassword reads one line, without echo if the input is a terminal.
func readPassword(in io.Reader, stderr io.Writer) (string, error) {
	var line string
	if f, ok := in.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		fmt.Fprint(stderr, "Password: ")
		b, err := term.ReadPassword(int(f.Fd()))
		fmt.Fprintln(stderr)
		if err != nil {
			return "", err
		}
		line = string(b)
	} else {
		var err error
		if line, err = bufio.NewReader(io.LimitReader(in, 4096)).ReadString('\n'); err != nil && err != io.EOF {
			return "", err
		}
		line = strings.TrimRight(line, "\r\n")
	}
	if line == "" {
		return "", errors.New("no password on standard input")
	}
	return line, nil
}
