"""``python -m oakbridge.cli``: the command line."""

import sys

from oakbridge.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
