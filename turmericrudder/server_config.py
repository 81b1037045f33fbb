"""The uvicorn configuration that all servers of this package have in common."""

from uvicorn import Config

__all__ = ["make_server_config"]


def make_server_config(application, **others):
    """Return the configuration for an ASGI application.

    No logs, no lifespan, no headers of uvicorn's own.

    :param others: options of :class:`uvicorn.Config`.
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
        **others,
    )
