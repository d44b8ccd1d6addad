# Chores of the project. Each target needs only Python 3.11, make and pip.

PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= guild

.PHONY: install format lint types test demo spec bench bench-live proto clean

# The stamp makes the installation run again only when a pin changes.
$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

install: $(VENV)/.installed

format: install
	$(BIN)/ruff format .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: install
	$(BIN)/mypy

test: install
	$(BIN)/python -m tests

demo: install
	BIN=$(BIN) bash scripts/demo.sh $(DEPLOYMENT)

spec: install
	$(BIN)/mothpass-spec

bench: install
	$(BIN)/python -m bench

bench-live: install
	$(BIN)/python -m bench.live

# Regenerates the committed gRPC code after a change of peers.proto.
proto: install
	$(BIN)/python -m grpc_tools.protoc --proto_path=. --python_out=. --pyi_out=. \
	  --grpc_python_out=. mothpass/adapters/peers.proto

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache
