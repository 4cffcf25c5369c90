PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

SEEDS ?= 1:50

.PHONY: demo lint test bench fuzz soak prove format proto lock clean

demo: $(STAMP)
	$(BIN)/python -m tools.demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m tools.unused
	$(BIN)/lint-imports --no-cache

test: lint
	$(BIN)/python -m tools.run_tests

bench: $(STAMP)
	$(BIN)/python -m tools.bench_core

fuzz: $(STAMP)
	$(BIN)/python -m tools.fuzz

soak: $(STAMP)
	$(BIN)/python -m tools.soak --seeds=$(SEEDS) --jobs=3

prove: $(STAMP)
	$(BIN)/python -m tools.wrong_versions

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

proto: $(STAMP)
	$(BIN)/pip install --quiet ".[proto]"
	PATH="$(abspath $(BIN)):$$PATH" python -m grpc_tools.protoc -I. \
		--python_out=. --pyi_out=. --grpclib_python_out=. sprucewinch/hall/peers/peer.proto

lock: $(STAMP)
	$(BIN)/pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --allow-unsafe --generate-hashes --extra dev --strip-extras \
		--no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-emit-options \
		-o requirements.lock pyproject.toml

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) out
