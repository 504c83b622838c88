"""Emulates the services and load balancers around servers on loopback sockets, and runs fleets of servers there."""
