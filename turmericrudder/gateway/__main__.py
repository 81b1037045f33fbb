"""Entry point of an entry instance: ``python -m turmericrudder.gateway``.

The environment variable ``TURMERICRUDDER_CONFIG`` is the path of the settings file.
"""

import os
import signal
import sys

SETTINGS_VARIABLE = "TURMERICRUDDER_CONFIG"


def main():
    """Run until SIGTERM; a SIGTERM during the start exits at once."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # A reload during the start is not lost: the instance detects that the settings
    # file has changed by its modification time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported after the handlers are set, since imports take most of the start.
    import anyio

    from ..events import set_up_logging
    from ..settings import read_gateway_settings, read_settings_or_exit
    from .instance import run_gateway

    path = os.environ[SETTINGS_VARIABLE]
    set_up_logging(read_settings_or_exit(read_gateway_settings, path))
    anyio.run(run_gateway, path, backend_options={"use_uvloop": True})


main()
