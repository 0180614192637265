# Builds and checks coltsfootplank. All targets need only Go (with cgo) and make.
SHELL := /bin/bash
MODULES := internal platform router routerctl standin loadgen scenarios
PROGRAMS := router routerctl standin loadgen
TOOLS := $(CURDIR)/.tools
LINTER := $(TOOLS)/golangci-lint
LINTER_VERSION := v2.15.0

.PHONY: all build test check-format lint unit proofs demo measure capacity clean

all: build

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

# test runs the formatter check, the linter, and all tests with the race detector.
test: check-format lint unit

check-format:
	@unformatted=$$(gofmt -l $(MODULES)); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

$(LINTER):
	@mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)

lint: $(LINTER)
	@for m in $(MODULES); do (cd $$m && $(LINTER) run --allow-parallel-runners ./...) || exit 1; done

unit:
	@scripts/test.sh $(MODULES)

# proofs runs the fault matrix and the scripted scenarios and prints one line for each invariant.
proofs: build
	@scripts/proofs.sh internal/prover scenarios

demo: build
	@scripts/demo.sh

# measure compares the scheduler's policies with their baselines in simulated time and fails if a result is out of bounds.
measure:
	@mkdir -p bin
	@go build -o bin/loadgen ./loadgen
	@bin/loadgen measure $(MEASURE)

# capacity measures the components of the router on this machine, which takes about three minutes, and writes the tables
# to docs/CAPACITY.md.
capacity:
	@mkdir -p bin
	@go build -o bin/loadgen ./loadgen && bin/loadgen capacity --write docs/CAPACITY.md

clean:
	rm -rf bin .tools
