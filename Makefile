# `make demo` installs the dependencies and plays the bad-day scenario; `make test` installs them and runs all checks.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test install clean site-files

demo: $(STAMP)
	$(PYTHON) -m quillstep.cli --log-level warning scenario examples/days/bad-day.cue --record .day

test: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(PYTHON) -m pytest -q

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	$(VENV)/bin/pip -q install --no-deps --no-build-isolation -e .
	touch $(STAMP)

# The benchmark needs further files in deploy/sites: `make site-files KIT=FOLDER` copies them from a folder with them.
site-files:
	@test -n "$(KIT)" || { echo "KIT=FOLDER names no folder with wire.json, real.json and unlock.txt"; exit 1; }
	cp $(KIT)/wire.json $(KIT)/real.json $(KIT)/unlock.txt deploy/sites/

clean:
	rm -rf $(VENV) .day
