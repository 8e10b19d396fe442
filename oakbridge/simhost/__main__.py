"""``python -m oakbridge.simhost``: the simulator's line protocol on standard input and output."""

import sys

from oakbridge.simhost.adapter import main

if __name__ == "__main__":
    sys.exit(main())
