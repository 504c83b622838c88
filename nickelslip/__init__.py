"""Admission control and scheduling of requests for servers behind load balancers."""

__version__ = "0.1.0"
