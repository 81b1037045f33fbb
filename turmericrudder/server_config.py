"""The uvicorn configuration shared by all servers of this package."""

from uvicorn import Config

__all__ = ["make_server_config"]


def make_server_config(application, **options):
    """Return the uvicorn configuration for an ASGI application.

    Websockets, lifespan events, the evaluation of proxy headers, and uvicorn's own
    logs and headers are disabled.

    :param options: further options of :class:`uvicorn.Config`.
    """
    return Config(
        application,
        ws="none",
        lifespan="off",
        interface="asgi3",
        access_log=False,
        log_config=None,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        **options,
    )
