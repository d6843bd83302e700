# build, test, lint and run; `make run` starts a node on deploy/pierglade.toml, or on CONFIG=FILE.

CONFIG ?= deploy/pierglade.toml

.PHONY: build test lint run

build:
	sh deploy/build.sh

test: build
	.venv/bin/python -m unittest discover -s tests -t . -v

lint: build
	.venv/bin/python -m pip -q install -r requirements-dev.txt
	.venv/bin/python -m ruff format --check .
	.venv/bin/python -m ruff check .

run: build
	exec .venv/bin/python -m pierglade.cli serve $(CONFIG)
