# Both targets work in a fresh clone: the virtual environment is made when it is missing.
PYTHON ?= python3
VENV ?= .dev-venv
STAMP = $(VENV)/.installed

.PHONY: demo test lint proto
demo: $(STAMP)
	$(VENV)/bin/quincepath demo

test: $(STAMP)
	$(VENV)/bin/python -m pytest -q -n 4 -p tests.known_red

lint: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports --no-cache

proto: $(STAMP)
	PATH=$(CURDIR)/$(VENV)/bin:$$PATH $(VENV)/bin/python -m grpc_tools.protoc -I. --python_out=. --mypy_out=. quincepath/fronts/remote_read/remote.proto

$(STAMP): pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)
