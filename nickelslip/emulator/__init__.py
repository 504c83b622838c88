"""Emulation of what surrounds servers, on loopback sockets, and of fleets of server processes in it."""
