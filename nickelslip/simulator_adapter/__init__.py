"""Adapter that lets the simulator drive admission controllers."""
