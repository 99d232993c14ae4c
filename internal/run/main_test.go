package run

import (
	"testing"

	"go.uber.org/goleak"
)

// These goroutines run until the process ends: netpoll's pollers and servers, and the tests' own servers.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*eventLoop).waitQuit"),
		goleak.IgnoreAnyFunction("havenproxy/internal/run.slowDatabase.func2"))
}
