BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: bench build capacity check check-asan check-tsan demo soak node-soak format format-check lint test traces install-packages

build:
	cmake -S . -B $(BUILD) -G Ninja --log-level=WARNING -DAZUREPADDLE_WARNINGS_AS_ERRORS=ON
	cmake --build $(BUILD) -j $(JOBS)

install-packages:
	tools/install-packages

format:
	git ls-files -co --exclude-standard '*.hpp' '*.cpp' | xargs clang-format -i

format-check:
	git ls-files -co --exclude-standard '*.hpp' '*.cpp' | xargs clang-format --dry-run --Werror

lint: build
	tools/check-layers
	tools/lint $(BUILD) $(JOBS)

test: build
	tools/run-tests $(BUILD)

traces: build
	for trace in test/traces/*.trace; do $(BUILD)/azurepaddle-bench replay $$trace || exit 1; done

check: install-packages format-check lint test traces

demo: install-packages build
	tools/demo $(BUILD)

# The programs run under ThreadSanitizer; Criterion's runner does not start there.
check-tsan:
	cmake -S . -B build-tsan -G Ninja --log-level=WARNING -DAZUREPADDLE_SANITIZE=thread
	cmake --build build-tsan -j $(JOBS) --target azurepaddled azurepaddle azurepaddle-standin
	TSAN_OPTIONS="halt_on_error=0 exitcode=0 log_path=build-tsan/tsan" tools/demo build-tsan
	tools/tsan-report build-tsan

# Longer random faults; SEEDS sets how many.
SEEDS ?= 20
soak: build
	tools/soak $(BUILD) $(SEEDS)

# The same for the nodes that run on a platform.
node-soak: build
	tools/node-soak $(BUILD) $(SEEDS)

bench: build
	$(BUILD)/azurepaddle-bench run

capacity: build
	for figures in log election control contacts membership; do $(BUILD)/azurepaddle-figures $$figures || exit 1; done
	$(BUILD)/azurepaddle-bench cost
	tools/load-figures $(BUILD)

check-asan:
	cmake -S . -B build-asan -G Ninja -DAZUREPADDLE_SANITIZE=address,undefined
	$(MAKE) test BUILD=build-asan
