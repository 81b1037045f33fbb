"""Run an entry instance: ``python -m turmericrudder.daemon SETTINGS``."""

import sys

import anyio

from ..settings import read_entry_settings, read_settings_or_exit
from .entry_instance import run_entry

settings = read_settings_or_exit(read_entry_settings, sys.argv[1])
sys.exit(anyio.run(run_entry, settings, backend_options={"use_uvloop": True}))
