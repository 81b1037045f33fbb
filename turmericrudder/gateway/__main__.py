"""Run an entry instance: ``python -m turmericrudder.gateway``.

The path of the settings file stands in the environment.
"""

import os

import anyio

from ..events import set_up_logging
from ..settings import read_gateway_settings
from .instance import run_gateway

SETTINGS_VARIABLE = "TURMERICRUDDER_CONFIG"

path = os.environ[SETTINGS_VARIABLE]
set_up_logging(read_gateway_settings(path))
anyio.run(run_gateway, path, backend_options={"use_uvloop": True})
