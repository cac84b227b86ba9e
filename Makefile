# The commands for developers and CI. Each target also runs the targets that it needs.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build test demo bench experiment fuzz soak mutants format check-format lint
all: build

deps:
	scripts/install-deps

build: deps
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_ARGS) > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	scripts/run-tests $(BUILD)

demo: build
	scripts/demo $(DEMO_ARGS)

bench: build
	[ ! -x $(BUILD)/dotterel-bench ] || $(BUILD)/dotterel-bench $(BENCH_ARGS)
	$(BUILD)/dotterel-bench-cell
	scripts/bench-lookups

experiment: build
	$(BUILD)/dotterel-experiment --pattern bench/experiment/patterns/large-fleet.json $(EXPERIMENT_ARGS)
	$(BUILD)/dotterel-experiment --pattern bench/experiment/patterns/small-fleet.json $(EXPERIMENT_ARGS)

fuzz: build
	scripts/fuzz $(FUZZ_ARGS)

# Fresh seeds by default; SOAK_ARGS="--file test/soak/seeds.txt" replays those that once failed.
soak: build
	DOTTEREL_BUILD=$(BUILD) python3 -B scripts/soak.py $(SOAK_ARGS)

mutants: deps
	scripts/mutants $(MUTANT_ARGS)

SOURCES = $(shell git ls-files '*.cc' '*.h')

format:
	clang-format -i $(SOURCES)

check-format:
	clang-format --dry-run --Werror $(SOURCES)

lint: build
	scripts/lint $(BUILD)
