"""Entry point of ``python -m jayvalve``."""

from jayvalve.cli import main

if __name__ == "__main__":
    main()
