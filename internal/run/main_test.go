package run

import (
	"testing"

	"go.uber.org/goleak"
)

// What runs to the process's end: netpoll's pollers and servers, and the tests' own stand-ins.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*eventLoop).waitQuit"),
		goleak.IgnoreAnyFunction("havenproxy/internal/run.slowDatabase.func2"), goleak.IgnoreAnyFunction("havenproxy/internal/run.hung.func2.1"))
}
