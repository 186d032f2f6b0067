# golangci-lint cannot share a module with the other tools: a module that its
# full graph names is not served by the module proxy. It is pinned here and
# built from its own module.
GOLANGCI_LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BIN := bin

.PHONY: build demo test lint fuzz generate

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/awbench demo

test: lint
	go test ./...

lint:
	@out=$$(go tool -modfile=tools/go.mod gofumpt -l cmd core io internal); \
		if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	go vet ./...
	go run $(GOLANGCI_LINT) run ./...
