"""Entry point: python -m nickelslip.simulator_adapter."""

import sys

from nickelslip.simulator_adapter.adapter import main

if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout, sys.stderr))
