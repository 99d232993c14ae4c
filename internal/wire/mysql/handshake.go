package mysql

import (
	"encoding/binary"
)

// The authentication methods.
const (
	NativePassword = "mysql_native_password"
	CachingSHA2    = "caching_sha2_password"
)

// maxUser is the maximum length of a user name in bytes: 32 characters of up to four, as in MySQL. The guard of failed logins
// remembers names.
const maxUser = 128

// ScrambleLen is the length of the random bytes that a server sends for a login.
const ScrambleLen = 20

// ServerCaps is what the proxy offers its clients. Neither TLS nor several statements in one are among it.
const ServerCaps = ClientLongPassword | ClientFoundRows | ClientLongFlag | ClientConnectWithDB | ClientProtocol41 | ClientTransactions |
	ClientSecureConnection | ClientMultiResults | ClientPSMultiResults | ClientPluginAuth | ClientConnectAttrs |
	ClientPluginAuthLenEncData | ClientSessionTrack | ClientDeprecateEOF | ClientQueryAttributes

// ServerVersion is what clients are told; some turn features on by it.
const ServerVersion = "8.0.36-havenproxy"

// Handshake is a server's first packet.
type Handshake struct {
	Version  string
	ID       uint32
	Scramble []byte // ScrambleLen bytes
	Caps     uint32
	Plugin   string
}

// AppendHandshake writes a server's first packet.
func AppendHandshake(dst []byte, h Handshake) []byte {
	dst, at := begin(dst, 0)
	dst = append(dst, 10)
	dst = append(append(dst, h.Version...), 0)
	dst = binary.LittleEndian.AppendUint32(dst, h.ID)
	dst = append(append(dst, h.Scramble[:8]...), 0)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(h.Caps))
	dst = append(dst, charset)
	dst = binary.LittleEndian.AppendUint16(dst, StatusAutocommit)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(h.Caps>>16))
	dst = append(dst, ScrambleLen+1)
	dst = append(dst, make([]byte, 10)...)
	dst = append(append(dst, h.Scramble[8:]...), 0)
	return end(append(append(dst, h.Plugin...), 0), at)
}

// ParseHandshake reads a server's first packet. Servers without protocol 4.1 or pluggable authentication are refused.
func ParseHandshake(body []byte) (h Handshake, err error) {
	r := &reader{b: body}
	if r.byte() != 10 {
		return h, ErrMalformed
	}
	h.Version = r.cstring()
	h.ID = r.uint32()
	first := r.take(8)
	r.byte()
	low := r.uint16()
	r.byte()
	r.uint16()
	h.Caps = uint32(low) | uint32(r.uint16())<<16
	n := int(r.byte())
	r.take(10)
	second := r.take(max(13, n-8))
	h.Plugin = r.cstring()
	if r.bad || n != ScrambleLen+1 || h.Caps&ClientProtocol41 == 0 || h.Caps&ClientPluginAuth == 0 {
		return h, ErrMalformed
	}
	h.Scramble = append(append([]byte(nil), first...), second[:12]...)
	return h, nil
}

// Login is a client's answer to the handshake.
type Login struct {
	Caps     uint32
	User     string
	Auth     []byte
	Database string
	Plugin   string
}

// AppendLogin writes a client's answer to the handshake.
func AppendLogin(dst []byte, seq byte, l Login) []byte {
	dst, at := begin(dst, seq)
	dst = binary.LittleEndian.AppendUint32(dst, l.Caps)
	dst = binary.LittleEndian.AppendUint32(dst, MaxPacket)
	dst = append(dst, charset)
	dst = append(dst, make([]byte, 23)...)
	dst = append(append(dst, l.User...), 0)
	dst = append(appendLenEnc(dst, uint64(len(l.Auth))), l.Auth...)
	if l.Caps&ClientConnectWithDB != 0 {
		dst = append(append(dst, l.Database...), 0)
	}
	return end(append(append(dst, l.Plugin...), 0), at)
}

// ParseLogin reads a client's answer to the handshake. A client that asks for TLS, which isn't offered, sends only the
// head of one and is malformed.
func ParseLogin(body []byte) (l Login, err error) {
	if len(body) > maxLogin {
		return l, ErrTooLarge
	}
	r := &reader{b: body}
	l.Caps = r.uint32()
	r.uint32()
	r.byte()
	r.take(23)
	l.User = r.cstring()
	switch {
	case l.Caps&ClientPluginAuthLenEncData != 0:
		l.Auth = r.lenStr()
	case l.Caps&ClientSecureConnection != 0:
		l.Auth = r.take(int(r.byte()))
	default:
		l.Auth = []byte(r.cstring())
	}
	if l.Caps&ClientConnectWithDB != 0 {
		l.Database = r.cstring()
	}
	if l.Caps&ClientPluginAuth != 0 {
		l.Plugin = r.cstring()
	}
	if l.Caps&ClientProtocol41 == 0 || l.Caps&ClientSSL != 0 || len(l.User) > maxUser {
		return l, ErrMalformed
	}
	if l.Caps&ClientConnectAttrs != 0 && len(r.b) > 0 {
		r.lenStr() // names of the client's program; of no use here
	}
	l.Auth = append([]byte(nil), l.Auth...)
	return l, r.err()
}

// ParseChangeUser reads a COM_CHANGE_USER, its first byte included.
func ParseChangeUser(body []byte, caps uint32) (l Login, err error) {
	if len(body) > maxLogin {
		return l, ErrTooLarge
	}
	r := &reader{b: body}
	r.byte()
	if l.Caps, l.User = caps, r.cstring(); len(l.User) > maxUser {
		return l, ErrMalformed
	}
	l.Auth = append([]byte(nil), r.take(int(r.byte()))...)
	l.Database = r.cstring()
	if len(r.b) >= 2 {
		r.uint16()
		if caps&ClientPluginAuth != 0 && len(r.b) > 0 {
			l.Plugin = r.cstring()
		}
	}
	return l, r.err()
}

// AppendAuthSwitch asks for another authentication method.
func AppendAuthSwitch(dst []byte, seq byte, plugin string, scramble []byte) []byte {
	dst, at := begin(dst, seq)
	dst = append(append(append(dst, 0xfe), plugin...), 0)
	return end(append(append(dst, scramble...), 0), at)
}

// ParseAuthSwitch reads a request for another method.
func ParseAuthSwitch(body []byte) (plugin string, scramble []byte, err error) {
	r := &reader{b: body}
	if r.byte() != 0xfe {
		return "", nil, ErrMalformed
	}
	plugin = r.cstring()
	if len(r.b) < ScrambleLen {
		return "", nil, ErrMalformed
	}
	return plugin, append([]byte(nil), r.b[:ScrambleLen]...), r.err()
}

// AppendAuthMore writes data of the method in hand.
func AppendAuthMore(dst []byte, seq byte, data []byte) []byte {
	dst, at := begin(dst, seq)
	return end(append(append(dst, 0x01), data...), at)
}
