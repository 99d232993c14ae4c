package net

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks for leaked goroutines. Those of netpoll's pollers and servers run until the process ends, and so do
// those of the tests' stubs, whose connections the stopped loop leaves open. Goroutines that dial or wait for the
// poller must have ended.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*eventLoop).waitQuit"), goleak.IgnoreAnyFunction("havenproxy/internal/net.listen.func2.1"))
}
