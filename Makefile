# The commands of README. Everything is built under build/.
BUILD ?= build
.PHONY: build test demo demo-up demo-down bench soak soak-entry

build:
	scripts/install-packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure $(TEST_OPTIONS)

bench: build
	$(BUILD)/bench/bergamotyard-bench figures --out out
	$(BUILD)/bench/bergamotyard-capacity
	BUILD=$(BUILD) scripts/measure-cluster

demo: build
	BUILD=$(BUILD) scripts/demo

demo-up: build
	BUILD=$(BUILD) scripts/demo --up

demo-down:
	scripts/demo --down

soak: build
	BUILD=$(BUILD) scripts/soak

SOAK_SEEDS ?= 1..50
soak-entry: build
	BUILD=$(BUILD) scripts/soak-entry --seeds $(SOAK_SEEDS)
