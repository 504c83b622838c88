"""Entry point: python -m nickelslip.server."""

from nickelslip.server.cli import main

if __name__ == "__main__":
    main(prog_name="nickelslip")
