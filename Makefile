PYTHON ?= python3.11
VENV ?= .venv
STAMP = $(VENV)/installed
LIBRARIES = base links store peering configuration limits groups routing targets gateway \
	proxy standins measure model operations sessions fleet entry soak
SOURCES = libs platform tests
PYTEST_OPTIONS ?=

.PHONY: demo test format lint

$(STAMP): requirements.txt constraints.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet -r requirements.txt -c constraints.txt
	$(VENV)/bin/python -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach library,$(LIBRARIES),-e libs/$(library)) -e platform
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/pistachiowinch demo --check

test: $(STAMP)
	$(VENV)/bin/python -m pytest -n auto --dist worksteal --ignore=tests/crowds $(PYTEST_OPTIONS)
	$(VENV)/bin/python -m pytest tests/crowds $(PYTEST_OPTIONS)

format: $(STAMP)
	$(VENV)/bin/black --quiet $(SOURCES)
	$(VENV)/bin/ruff check --quiet --fix $(SOURCES)

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet $(SOURCES)
	$(VENV)/bin/ruff check --quiet $(SOURCES)
