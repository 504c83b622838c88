"""Entry point: python -m nickelslip.bench."""

import sys

from nickelslip.bench.adapter import main

if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout, sys.stderr))
