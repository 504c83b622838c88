"""nickelslip: admission and scheduling for servers behind other people's balancers."""

__version__ = "0.1.0"
