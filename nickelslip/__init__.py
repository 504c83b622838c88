"""nickelslip: admission and scheduling for servers behind other people's balancers."""
