package net

import (
	"testing"

	"go.uber.org/goleak"
)

// What runs to the process's end: netpoll's pollers and servers, and the tests' own stand-ins, whose connections the stopped loop leaves open.
// What dials or waits for the poller has to have ended.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*eventLoop).waitQuit"), goleak.IgnoreAnyFunction("havenproxy/internal/net.listen.func2.1"))
}
