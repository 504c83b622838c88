"""The server, which connects admission control to load balancers, worker pool, records service and directory."""
