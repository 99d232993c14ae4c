package hostile

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"havenproxy/internal/wire/mysql"
)

// clientCaps is what hostile MySQL clients ask for.
const clientCaps = mysql.ClientLongPassword | mysql.ClientProtocol41 | mysql.ClientSecureConnection | mysql.ClientPluginAuth |
	mysql.ClientConnectWithDB | mysql.ClientDeprecateEOF

// mysqlLogin connects and logs in.
func mysqlLogin(ctx context.Context, t *Target) net.Conn {
	conn := dial(ctx, t.MySQL)
	if conn == nil {
		return nil
	}
	conn.SetDeadline(time.Now().Add(time.Second))
	buf := make([]byte, 4096)
	conn.Read(buf)
	conn.Write(mysql.AppendLogin(nil, 1, mysql.Login{Caps: clientCaps, User: "client", Database: "core", Plugin: mysql.CachingSHA2}))
	if _, err := conn.Read(buf); err != nil {
		conn.Close()
		return nil
	}
	conn.SetDeadline(time.Time{})
	return conn
}

func pings(_ *rand.Rand, dst []byte) []byte { return mysql.AppendCommand(dst, mysql.ComPing, "") }

func prepares(rng *rand.Rand, dst []byte) []byte {
	return mysql.AppendCommand(dst, mysql.ComStmtPrepare, fmt.Sprintf("SELECT val FROM state WHERE uid = '%016x' /* c=katalog,cluster=0 */", rng.Uint64()))
}

// mysqlFlood sends commands on one MySQL connection as fast as it takes them.
func mysqlFlood(command func(*rand.Rand, []byte) []byte) attack {
	return func(ctx context.Context, t *Target, rng *rand.Rand) {
		for ctx.Err() == nil {
			if conn := mysqlLogin(ctx, t); conn != nil {
				floodOn(ctx, conn, func(dst []byte) []byte { return command(rng, dst) }, true)
				conn.Close()
			}
			sleep(ctx, retryPause)
		}
	}
}

// mysqlReconnect connects, and leaves before it has logged in.
func mysqlReconnect(ctx context.Context, t *Target, rng *rand.Rand) {
	together(4, rng, func(*rand.Rand) {
		for ctx.Err() == nil {
			if conn := dial(ctx, t.MySQL); conn != nil {
				conn.SetLinger(0)
				conn.Close()
			}
		}
	})
}

// adminCalls asks for the metrics again and again.
func adminCalls(ctx context.Context, t *Target, rng *rand.Rand) {
	together(4, rng, func(*rand.Rand) {
		for ctx.Err() == nil {
			conn := dial(ctx, t.Admin)
			if conn == nil {
				sleep(ctx, retryPause)
				continue
			}
			conn.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(conn, "GET /v1/metrics HTTP/1.1\r\nHost: proxy\r\n\r\n")
			readToEnd(conn)
			conn.Close()
		}
	})
}

// adminReset sends a call and resets the connection.
func adminReset(ctx context.Context, t *Target, rng *rand.Rand) {
	together(4, rng, func(*rand.Rand) {
		for ctx.Err() == nil {
			if conn := dial(ctx, t.Admin); conn != nil {
				io.WriteString(conn, "GET /v1/metrics HTTP/1.1\r\nHost: proxy\r\n\r\n")
				conn.SetLinger(0)
				conn.Close()
			}
		}
	})
}

// NewPeerSocket opens the socket of a listed peer.
func NewPeerSocket() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// peerDatagrams sends datagrams that are no messages at full speed, from the address of a listed peer or from another one.
func peerDatagrams(listed bool) attack {
	return func(ctx context.Context, t *Target, rng *rand.Rand) {
		conn := t.Peer
		if !listed {
			other, err := NewPeerSocket()
			if err != nil {
				return
			}
			defer other.Close()
			conn = other
		}
		to, err := net.ResolveUDPAddr("udp4", t.Peers)
		if err != nil {
			return
		}
		datagram := make([]byte, 256)
		for ctx.Err() == nil {
			for i := range datagram {
				datagram[i] = byte(rng.Uint32())
			}
			conn.WriteToUDP(datagram, to)
		}
	}
}
