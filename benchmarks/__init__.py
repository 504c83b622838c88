"""Benchmarks against fake services on loopback.

Run one with `python -m benchmarks.NAME [--quick]`. The last line of its output is one JSON object.
"""
