"""Run the command line with ``python -m turmericrudder``."""

from .cli import main

main()
