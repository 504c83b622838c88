"""Starting a server, even if hundreds of servers start at the same time without communicating."""
