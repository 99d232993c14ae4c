package mysql

import (
	"bytes"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"strings"
)

// Secret is what is known of a user's password. It is never the password, and is never printed.
type Secret struct {
	Native [sha1.Size]byte   // SHA1(SHA1(password))
	SHA2   [sha256.Size]byte // SHA256(SHA256(password)), what servers keep in their cache
	Salted [sha256.Size]byte // SHA256 over Salt and the password, repeated
	Salt   []byte
	Kind   SecretKind
}

// SecretKind says which hash a Secret holds.
type SecretKind uint8

// The kinds of secret.
const (
	NoPassword SecretKind = iota
	SecretNative
	SecretSHA2
	SecretSalted // only a full exchange can check it
)

// String hides the secret from logs.
func (Secret) String() string { return "(secret)" }

// GoString hides it from %#v.
func (Secret) GoString() string { return "(secret)" }

// Equal tells whether two secrets are the same.
func (s *Secret) Equal(o *Secret) bool {
	return s.Kind == o.Kind && s.Native == o.Native && s.SHA2 == o.SHA2 && s.Salted == o.Salted && bytes.Equal(s.Salt, o.Salt)
}

// saltRounds makes a guess at a salted secret expensive.
const saltRounds = 5000

// HashNative makes the text form of a secret for mysql_native_password, as MySQL's own PASSWORD() did.
func HashNative(password string) string {
	one := sha1.Sum([]byte(password))
	two := sha1.Sum(one[:])
	return "*" + strings.ToUpper(hex.EncodeToString(two[:]))
}

// HashSHA2 makes the text form of a secret for caching_sha2_password's fast path.
func HashSHA2(password string) string {
	one := sha256.Sum256([]byte(password))
	two := sha256.Sum256(one[:])
	return "sha2:" + hex.EncodeToString(two[:])
}

// HashSalted makes the text form of a salted secret, which asks for a full exchange at a user's first login.
func HashSalted(password string, salt []byte) string {
	sum := salted(password, salt)
	return "salted:" + hex.EncodeToString(salt) + ":" + hex.EncodeToString(sum[:])
}

func salted(password string, salt []byte) [sha256.Size]byte {
	sum := sha256.Sum256(append(append([]byte(nil), salt...), password...))
	for range saltRounds {
		sum = sha256.Sum256(append(sum[:], salt...))
	}
	return sum
}

// ParseSecret reads a secret's text form; an empty one is a user without a password. Its errors don't show it.
func ParseSecret(text string) (s Secret, err error) {
	fill := func(dst []byte, digits string) error {
		b, err := hex.DecodeString(digits)
		if err != nil || len(b) != len(dst) {
			return fmt.Errorf("a secret of %d hexadecimal digits, %d were expected", len(digits), 2*len(dst))
		}
		copy(dst, b)
		return nil
	}
	switch {
	case text == "":
		return s, nil
	case strings.HasPrefix(text, "*"):
		s.Kind = SecretNative
		return s, fill(s.Native[:], text[1:])
	case strings.HasPrefix(text, "sha2:"):
		s.Kind = SecretSHA2
		return s, fill(s.SHA2[:], text[5:])
	case strings.HasPrefix(text, "salted:"):
		salt, sum, _ := strings.Cut(text[7:], ":")
		s.Kind = SecretSalted
		if s.Salt, err = hex.DecodeString(salt); err != nil || len(s.Salt) < 8 || len(s.Salt) > 64 {
			return s, errors.New("a salt of 8 to 64 bytes in hexadecimal digits was expected")
		}
		return s, fill(s.Salted[:], sum)
	}
	return s, errors.New(`a secret was expected as "*...", "sha2:..." or "salted:...:...", never a password`)
}

// Plugin is the method by which a secret is checked.
func (s *Secret) Plugin() string {
	if s.Kind == SecretNative {
		return NativePassword
	}
	return CachingSHA2
}

// Fast checks an answer to a scramble against the secret. A salted secret has no fast path: it fails here.
func (s *Secret) Fast(scramble, answer []byte) bool {
	switch s.Kind {
	case NoPassword:
		return len(answer) == 0 || len(answer) == 1 && answer[0] == 0
	case SecretNative:
		if len(answer) != sha1.Size {
			return false
		}
		mask := sha1.Sum(append(append([]byte(nil), scramble...), s.Native[:]...))
		xor(mask[:], answer)
		again := sha1.Sum(mask[:])
		return subtle.ConstantTimeCompare(again[:], s.Native[:]) == 1
	case SecretSHA2:
		if len(answer) != sha256.Size {
			return false
		}
		mask := sha256.Sum256(append(append([]byte(nil), s.SHA2[:]...), scramble...))
		xor(mask[:], answer)
		again := sha256.Sum256(mask[:])
		return subtle.ConstantTimeCompare(again[:], s.SHA2[:]) == 1
	}
	return false
}

// Full checks a password that came in a full exchange. On success it gives the secret for the fast path.
func (s *Secret) Full(password string) (fast Secret, ok bool) {
	switch s.Kind {
	case SecretSalted:
		sum := salted(password, s.Salt)
		ok = subtle.ConstantTimeCompare(sum[:], s.Salted[:]) == 1
	case SecretSHA2:
		one := sha256.Sum256([]byte(password))
		two := sha256.Sum256(one[:])
		ok = subtle.ConstantTimeCompare(two[:], s.SHA2[:]) == 1
	}
	if ok {
		one := sha256.Sum256([]byte(password))
		fast = Secret{Kind: SecretSHA2, SHA2: sha256.Sum256(one[:])}
	}
	return fast, ok
}

func xor(dst, with []byte) {
	for i := range dst {
		dst[i] ^= with[i%len(with)]
	}
}

// AnswerScramble is a client's answer for a password.
func AnswerScramble(plugin, password string, scramble []byte) ([]byte, error) {
	if password == "" {
		return nil, nil
	}
	switch plugin {
	case NativePassword:
		one := sha1.Sum([]byte(password))
		two := sha1.Sum(one[:])
		mask := sha1.Sum(append(append([]byte(nil), scramble...), two[:]...))
		xor(mask[:], one[:])
		return mask[:], nil
	case CachingSHA2:
		one := sha256.Sum256([]byte(password))
		two := sha256.Sum256(one[:])
		mask := sha256.Sum256(append(append([]byte(nil), two[:]...), scramble...))
		xor(mask[:], one[:])
		return mask[:], nil
	}
	return nil, fmt.Errorf("authentication method %q is not known", plugin)
}

// The words of caching_sha2_password's full exchange.
const (
	fastOK     = 0x03
	fullNeeded = 0x04
	askKey     = 0x02
)

// FastOK and FullNeeded are what a server sends in an AuthMore packet; AskKey is a client's request for the key.
var (
	FastOK     = []byte{fastOK}
	FullNeeded = []byte{fullNeeded}
)

// AsksKey tells whether a client's packet asks for the public key.
func AsksKey(body []byte) bool { return len(body) == 1 && body[0] == askKey }

// Key is a server's key for full exchanges.
type Key struct {
	private *rsa.PrivateKey
	pem     []byte
}

// NewKey makes a key; it takes some tenths of a second.
func NewKey() (*Key, error) {
	k, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		return nil, err
	}
	der, err := x509.MarshalPKIXPublicKey(&k.PublicKey)
	if err != nil {
		return nil, err
	}
	return &Key{k, pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})}, nil
}

// PEM is the public half.
func (k *Key) PEM() []byte { return k.pem }

// Open gives the password of a full exchange.
func (k *Key) Open(sealed, scramble []byte) (string, error) {
	plain, err := rsa.DecryptOAEP(sha1.New(), nil, k.private, sealed, nil)
	if err != nil || len(plain) == 0 {
		return "", ErrMalformed
	}
	xor(plain, scramble)
	if plain[len(plain)-1] != 0 {
		return "", ErrMalformed
	}
	return string(plain[:len(plain)-1]), nil
}
