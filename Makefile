BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: build check check-asan check-tsan demo format format-check lint test traces install-packages

build:
	cmake -S . -B $(BUILD) -G Ninja --log-level=WARNING
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

check: install-packages format-check lint test

check-asan:
	cmake -S . -B build-asan -G Ninja -DAZUREPADDLE_SANITIZE=address,undefined
	$(MAKE) test BUILD=build-asan
