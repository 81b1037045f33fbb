"""The entry instance: a reverse proxy between a platform's clients and its targets.

Nothing is imported here, so that ``__main__`` can install its signal handlers first.
"""
