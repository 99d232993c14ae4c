package healthcheck

import (
	"testing"

	"havenproxy/internal/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m) }
