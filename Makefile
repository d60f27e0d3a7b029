# Commands for developers; CI runs `make test`.
GO ?= go
BIN ?= bin
SEED ?= 1
DEPLOYMENT ?= chikushi
SECONDS ?= 60

.PHONY: soak-processes bench-entry bench-routing build test check unit demo measure docs generate soak capacity measure-control mutants

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Formatter, linter and generated files.
check:
	bash scripts/check.sh

# All unit tests but those that KNOWN-RED.txt lists.
unit:
	bash scripts/unit.sh

test: check unit

docs:
	$(GO) run ./internal/docgen

generate:
	bash scripts/generate.sh

# Simulates every scheduling policy and prints its metrics as JSON lines. SEEDS=20 prints
# medians and the seeds where the product does worse than a baseline.
SEEDS ?= 1
measure:
	$(GO) run ./cmd/chervil-measure -deployment $(DEPLOYMENT) -seed $(SEED) -seeds $(SEEDS)

# Feeds random events to the scheduling engine for SECONDS, starting with SEED; prints
# each seed.
soak:
	$(GO) test ./internal/scheduler -run '^TestSoak$$' -v -timeout 0 -soak $(SECONDS)s -soak.seed $(SEED)

# Runs real processes against stand-ins of the users' platform and injects faults; the
# logs of failed seeds are kept in LOGS.
SEEDS_SOAK ?= 10
HOSTS_SOAK ?= 3
EXECUTORS_SOAK ?= 6
LOGS ?= /tmp/chervil-soak
soak-processes:
	$(GO) test ./platform/soak -v -count=1 -timeout 0 -soak.seed $(SEED) -soak.seeds $(SEEDS_SOAK) -soak.hosts $(HOSTS_SOAK) -soak.executors $(EXECUTORS_SOAK) -soak.logs $(LOGS)

# Measures the figures of docs/CAPACITY.md and prints them as JSON lines.
capacity:
	$(GO) build -o $(BIN)/ ./cmd/... ./operator/examples/...
	$(GO) run ./cmd/chervil-capacity -bin $(BIN)

# Measures the latency that an entry host adds to a request, and its requests per second.
bench-entry:
	$(GO) run ./internal/entry/benchmark

# Compares the policies for sharing the slots of executors.
bench-routing:
	$(GO) run ./internal/routing/measure -seed $(SEED)

# Runs the example deployments on loopback; prints and checks the outcomes.
demo:
	$(GO) build -o $(BIN)/ ./cmd/... ./operator/examples/...
	$(GO) run ./internal/demo -bin $(BIN)

# Measures store calls, gaps in ownership, propagation of changes and work during an
# outage; prints JSON lines.
measure-control:
	$(GO) test ./internal/ownership -run '^TestFigures' -v -count=1 | grep '^{'

# Mutation testing: disables one mechanism at a time and expects its test to fail.
mutants:
	$(GO) run ./internal/mutants
