# The project's tasks. `make check` is all that has to pass before a commit.

POLICY    = logic/logic.go logic/plan.go
MAX_LINES = 950
MAX_WIDTH = 110

# The linter's version stands in tools/go.mod, a module of its own, so that it adds nothing to the product's modules.
STATICCHECK = go tool -modfile=tools/go.mod staticcheck

.PHONY: build test lint size check run

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 -timeout 300s ./...

# gofmt, go vet and staticcheck (its checks stand in staticcheck.conf) over all packages and their tests. internal/labclock
# is the one package with a build tag; it is checked under both.
lint:
	@unformatted=$$(gofmt -l cmd internal logic); [ -z "$$unformatted" ] || { echo "not gofmt'd: $$unformatted"; exit 1; }
	go vet ./...
	go vet -tags lab ./internal/labclock/
	$(STATICCHECK) ./...
	$(STATICCHECK) -tags lab ./internal/labclock/

# The decision module is to stay small enough to be read in one sitting.
size:
	@lines=$$(cat $(POLICY) | grep -cv '^[[:space:]]*$$'); \
	[ "$$lines" -le $(MAX_LINES) ] || { echo "$(POLICY) holds $$lines non-blank lines, $(MAX_LINES) at most"; exit 1; }; \
	echo "$(POLICY): $$lines non-blank lines, $(MAX_LINES) at most"
	@long=$$(awk 'length($$0) > $(MAX_WIDTH) { print FILENAME ":" FNR }' $(POLICY)); \
	[ -z "$$long" ] || { echo "lines over $(MAX_WIDTH) characters: $$long"; exit 1; }

check: lint build test size

# One proxy, as the configuration says: make run EDGE_CONFIG=deploy/example.json
run: build
	EDGE_CONFIG=$(EDGE_CONFIG) bin/havenproxy
