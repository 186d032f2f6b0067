# golangci-lint is pinned here and built from its own module. It cannot be in
# tools/go.mod, because the module proxy does not serve one of the modules in
# its full module graph.
GOLANGCI_LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BIN := bin

.PHONY: build demo test lint fuzz soak generate

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/awbench demo

# The tests in KNOWN-RED.txt fail because of real faults that are not fixed yet.
# Only these tests are skipped, and the list is printed. An entry may name a subtest,
# TestName/subtest, with underscores for blanks; each part of a name is matched whole.
KNOWN_RED := $(shell sed -n 's/^Test: *//p' KNOWN-RED.txt | sed 's,/,$$/^,g; s,.*,^&$$,' | paste -sd'|' -)

test: lint
	@if [ -n '$(KNOWN_RED)' ]; then echo 'known red, skipped:'; cat KNOWN-RED.txt; fi
	go test $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

lint:
	@out=$$(go tool -modfile=tools/go.mod gofumpt -l cmd core io internal platform); \
		if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	go vet ./...
	go run $(GOLANGCI_LINT) run ./...

# Runs the state machine test of awproof with more checks and a new seed, which
# is printed, and then each fuzz target of the decoders.
FUZZ_SEED ?= $(shell date +%s)
FUZZ_CHECKS ?= 20000
FUZZ_TIME ?= 20s
FUZZ_TARGETS := FuzzSheet FuzzSettings FuzzChange FuzzView FuzzManifest \
	FuzzRequestHeaders FuzzRequestChunks FuzzPipelinedRequests FuzzFrames
fuzz:
	@echo "seed $(FUZZ_SEED)"
	go test ./internal/awproof -count=1 -timeout 30m -run '^TestInvariants$$' \
		-args -rapid.seed=$(FUZZ_SEED) -rapid.checks=$(FUZZ_CHECKS) -rapid.steps=120
	@for target in $(FUZZ_TARGETS); do \
		go test ./internal/awproof -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZ_TIME) -parallel 2 || exit 1; done
	go test ./platform -run '^$$' -fuzz '^FuzzIdentifiers$$' -fuzztime $(FUZZ_TIME) -parallel 2

# Runs the fault soak with more seeds. They start at the current time unless
# SOAK_FIRST is set.
SOAK_SEEDS ?= 50
SOAK_FIRST ?= $(shell date +%s)
soak:
	@echo "first seed $(SOAK_FIRST)"
	go test ./platform/awsoak -count=1 -timeout 60m -parallel 3 -soak.seeds=$(SOAK_SEEDS) -soak.first=$(SOAK_FIRST)

# Regenerates the protocol code. This needs protoc, protoc-gen-go and
# protoc-gen-go-drpc; the build does not.
generate:
	protoc -I io/awproto --go_out=. --go_opt=module=arbutuswind \
		--go-drpc_out=. --go-drpc_opt=module=arbutuswind inner.proto
