DEPLOYMENT ?= swan-coast
FUZZTIME ?= 30s

SEED ?= 1
RUNS ?= 1
LENGTH ?= 30s

.PHONY: build test race lint fmt-check vet tidy-check fuzz bench demo demo-platform soak clean

build:
	go build -o bin/dogwoodnotch ./cmd/dogwoodnotch

# Many tests provoke timeouts with short timings, so only two packages run at once.
# KNOWN-RED.txt lists tests that fail because of a recorded fault; .ci/skip-args prints the -skip pattern for exactly these.
test:
	go test -p 2 -timeout 10m $$(.ci/skip-args) ./...

# internal/demo, internal/standin/soak and internal/standin/crowd only start other processes, so the race detector would see nothing there.
race:
	go test -race -p 2 -timeout 15m $$(.ci/skip-args) $$(go list ./... | grep -v -e /internal/demo$$ -e /standin/soak$$ -e /standin/crowd$$)

lint:
	golangci-lint run ./...

fmt-check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "not formatted (run gofmt -w):"; echo "$$unformatted"; exit 1; fi

vet:
	go vet ./...

tidy-check:
	go generate ./...
	go mod tidy
	@if [ -n "$$(git status --porcelain)" ]; then echo "the tree changed; commit the result of go generate and go mod tidy:"; git status --short; exit 1; fi

# Runs each fuzz target for FUZZTIME. Minimisation is bounded, since the default spends most of the time on it.
fuzz:
	go test ./internal/spec -run xxx -fuzz FuzzParse -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./internal/configcheck -run xxx -fuzz FuzzCheck -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./internal/settings -run xxx -fuzz FuzzParse -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./internal/peer -run xxx -fuzz FuzzFrame -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./internal/api -run xxx -fuzz FuzzCalls -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./platform -run xxx -fuzz FuzzHeartbeat -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./platform -run xxx -fuzz FuzzSubmission -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./platform -run xxx -fuzz FuzzRecords -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./platform -run xxx -fuzz FuzzAdvice -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./platform -run xxx -fuzz FuzzWorkerEntry -fuzztime $(FUZZTIME) -fuzzminimizetime 10x
	go test ./internal/dispatch -run xxx -fuzz FuzzLoad -fuzztime $(FUZZTIME) -fuzzminimizetime 10x

clean:
	rm -rf bin

# Runs the whole path with stand-ins, in separate processes, and counts what was lost, doubled or cut short.
demo: build
	go build -o bin/standin ./cmd/standin
	go build -o bin/demo ./cmd/demo
	./bin/demo --daemon bin/dogwoodnotch --standin bin/standin --text examples/$(DEPLOYMENT)/text.yaml

# Plays RUNS runs of seeded faults from SEED on, each of LENGTH, with the programs that the users' platform runs.
soak: build
	go build -o bin/standin ./cmd/standin
	go build -o bin/soak ./cmd/soak
	./bin/soak --daemon bin/dogwoodnotch --standin bin/standin --seed $(SEED) --runs $(RUNS) --length $(LENGTH)

# Runs the programs of deploy/system.toml against stand-ins of the users' platform, with a few faults.
demo-platform:
	$(MAKE) soak SEED=1 LENGTH=20s

# Runs every measure, the naive version and ours in one run, and prints one line each.
bench:
	DOGWOODNOTCH_MEASURE=1 go test -run 'TestMeasure' -count=1 -timeout 20m -v ./... | grep -E '^ *measure |FAIL|^ok' | sed 's/^ *//'
