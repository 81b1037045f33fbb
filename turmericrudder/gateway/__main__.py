"""Run an entry instance: ``python -m turmericrudder.gateway``.

The path of the settings file stands in the environment.
"""

import os
import signal
import sys

SETTINGS_VARIABLE = "TURMERICRUDDER_CONFIG"


def main():
    """Run until a stop signal; one that comes before the start ends it at once."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # The running instance sees by the file's time that it has changed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported after that, since imports take longer than all else of a start.
    import anyio

    from ..events import set_up_logging
    from ..settings import read_gateway_settings
    from .instance import run_gateway

    path = os.environ[SETTINGS_VARIABLE]
    set_up_logging(read_gateway_settings(path))
    anyio.run(run_gateway, path, backend_options={"use_uvloop": True})


main()
