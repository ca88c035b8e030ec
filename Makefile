# The two commands that a newcomer needs are `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test model faults bench capacity format proto clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev,plot]'
	touch $(STAMP)

demo: setup
	$(BIN)/python -m bench.demo

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 crankchute bench spec tests
	$(BIN)/python -m bench.known_red $(BIN)/python -m pytest -n 4 --dist worksteal

model: setup
	$(BIN)/python -m spec.run

faults: setup
	$(BIN)/python -m bench.faults

bench: setup
	$(BIN)/python -m bench.policies

capacity: setup
	$(BIN)/python -m bench.capacity

format: setup
	$(BIN)/ruff format .

# The generated modules are committed; this is for changes of the protocol.
proto: setup
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
		--grpc_python_out=. crankchute/proto/peer.proto

clean:
	rm -rf $(VENV) out build
