"""Run an entry instance: ``python -m turmericrudder.gateway``.

The path of the settings file stands in the environment.
"""

import os

import anyio

from ..events import set_up_logging
from ..settings import read_gateway_settings
from .instance import Gateway

SETTINGS_VARIABLE = "TURMERICRUDDER_CONFIG"

settings = read_gateway_settings(os.environ[SETTINGS_VARIABLE])
set_up_logging(settings)
anyio.run(Gateway(settings).run, backend_options={"use_uvloop": True})
