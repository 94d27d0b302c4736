# `make test` is what has to be green before a change lands. CONFIG names a balancer's configuration for `make run`.
CONFIG ?= $(PROXY_CONFIG)
TOOLS = .venv-ci
LAB = target/lab

.PHONY: build tools test lint format run check-config clean local-demo

build:
	sh deploy/build.sh

tools: $(TOOLS)/built-from.txt

$(TOOLS)/built-from.txt: requirements.txt requirements-system.txt requirements-lab.txt requirements-dev.txt
	python3 -m venv $(TOOLS)
	$(TOOLS)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	cat $^ > $@

test: tools
	PATH="$(CURDIR)/$(TOOLS)/bin:$$PATH" sh tests/all.sh

lint: tools
	$(TOOLS)/bin/ruff check .
	$(TOOLS)/bin/ruff format --check .
	$(TOOLS)/bin/mypy

format: tools
	$(TOOLS)/bin/ruff check --fix .
	$(TOOLS)/bin/ruff format .

run: build
	.venv/bin/python -O -m madderwind serve --config="$(CONFIG)"

check-config: build
	.venv/bin/python -m madderwind check-config --config="$(CONFIG)"

# A whole fleet on this machine, under load and faults, with a report: less than a minute.
local-demo: $(LAB)/built-from.txt
	$(LAB)/bin/python -m madderwind.cli local demo deploy/local/workshop.yaml

$(LAB)/built-from.txt: requirements.txt requirements-system.txt requirements-lab.txt
	python3 -m venv $(LAB)
	$(LAB)/bin/pip -q install --disable-pip-version-check -r requirements-lab.txt
	cat $^ > $@

clean:
	rm -rf .venv $(TOOLS) $(LAB)
