"""Adapter through which the simulator drives the admission controller."""
