# One environment for every target; VENV can name another folder.
VENV ?= .venv
PYTHON ?= python3

.PHONY: install test demo prove soak bench lint generate

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --requirement requirements.lock
	$(VENV)/bin/python -m pip install --quiet --no-deps --editable .
	touch $@

test: install
	$(VENV)/bin/python -m pytest

demo: install
	$(VENV)/bin/python -m examples.demo
	$(VENV)/bin/python -m examples.platform_demo

prove: install
	$(VENV)/bin/python -m verification

# FIRST=0 draws the first seed.
SEEDS ?= 50
FIRST ?= 1
soak: install
	$(VENV)/bin/python -m soak --seeds $(SEEDS) --first $(FIRST)

bench: install
	$(VENV)/bin/python -m benchmarks

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

# Rewrites the committed protobuf code after a change of the .proto file.
generate: install
	PATH=$(abspath $(VENV))/bin:$$PATH $(VENV)/bin/python -m grpc_tools.protoc -I. \
	  --python_out=. --grpclib_python_out=. catkinport/protocol/peer.proto
