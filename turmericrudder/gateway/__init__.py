"""The entry instance on a platform that has a directory of its clients.

Nothing is imported here, so that the program can take signals before that.
"""
