PYTHON ?= python3.11
VENV := .venv

.PHONY: demo test lint clean

demo: $(VENV)/.installed
	$(VENV)/bin/monsoonpass demo

test: $(VENV)/.installed
	$(VENV)/bin/python -m pytest

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/python tools/check_imports.py src tests benchmarks tools

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $@

clean:
	rm -rf $(VENV)
