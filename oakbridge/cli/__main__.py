"""Runs the command line for ``python -m oakbridge.cli``."""

import sys

from oakbridge.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
