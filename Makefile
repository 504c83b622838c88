# build, test, lint and run; `make run` serves examples/config.json, `make test` is all that CI asks for

CONFIG ?= examples/config.json

.PHONY: build test lint run toy

build: .venv/bin/nickelslip

.venv/bin/nickelslip: requirements.txt pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-settings.txt
	.venv/bin/pip -q install --no-deps -e .

.venv-dev/bin/pytest: requirements.txt requirements-dev.txt
	python3 -m venv .venv-dev
	.venv-dev/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch .venv-dev/bin/pytest

test: lint
	.venv-dev/bin/python -m pytest -q

lint: .venv-dev/bin/pytest
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/ruff check .
	.venv-dev/bin/mypy

run: build
	.venv/bin/nickelslip serve --config $(CONFIG)

toy: build
	.venv/bin/python examples/toy.py $(CONFIG)
