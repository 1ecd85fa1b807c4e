# Shortcuts for CMake, ctest and the scripts.
BUILD ?= build
JOBS ?= $(shell nproc)
ARGS ?=
SEEDS ?= 10000
MINUTES ?= 5
SEED ?= $(shell date +%s)

.PHONY: all deps configure build test demo explore soak repeat-cases format format-check lint clean

all: build

deps:
	src/build-scripts/install-deps

configure: deps
	@test -f $(BUILD)/build.ninja || cmake -S . -B $(BUILD) -G Ninja

build: configure
	cmake --build $(BUILD) -j $(JOBS)

test: build
	cd $(BUILD) && ctest -j 6 --output-on-failure

demo: build
	$(BUILD)/bin/peridotshelf demo $(ARGS)

explore: build
	$(BUILD)/bin/explore --seeds $(SEEDS)

soak: build
	python3 testsuite/soak/run.py $(BUILD)/bin/peridotshelf --minutes $(MINUTES) --first $(SEED)

repeat-cases: build
	python3 testsuite/repeat_cases.py $(BUILD)/bin/peridotshelf $(MINUTES)

format:
	src/build-scripts/sources | xargs clang-format -i

format-check:
	src/build-scripts/sources | xargs clang-format --dry-run -Werror

lint: configure
	src/build-scripts/lint $(BUILD)

clean:
	rm -rf $(BUILD)
