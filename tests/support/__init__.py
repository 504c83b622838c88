"""Shared test helpers: a model of the admission rules, and a server connected to fake services."""
