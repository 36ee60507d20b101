PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: venv format lint generate test demo bench clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: venv
	$(BIN)/ruff check --fix-only --quiet wigeonrouter
	$(BIN)/ruff format wigeonrouter

lint: venv
	$(BIN)/ruff format --check wigeonrouter
	$(BIN)/ruff check wigeonrouter
	$(BIN)/flake8 wigeonrouter

# Regenerates the committed protobuf code from the schema.
generate: venv
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	    --grpc_python_out=. wigeonrouter/schema/*.proto

test: venv
	$(BIN)/python -m pytest

demo: venv
	$(BIN)/python -m wigeonrouter.bench.demo

bench: venv
	$(BIN)/wigeonrouter-bench all

clean:
	rm -rf $(VENV) build *.egg-info
