"""The entry instance for a platform's clients, a reverse proxy to its targets.

Nothing is imported here, so that ``__main__`` can install its signal handlers first.
"""
