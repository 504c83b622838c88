"""Capacity planning: how a server's costs grow with size, and a page that compares them with the users' plan."""
