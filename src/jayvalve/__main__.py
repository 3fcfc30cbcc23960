"""Runs the command line with ``python -m jayvalve``."""

from jayvalve.cli import main

if __name__ == "__main__":
    main()
