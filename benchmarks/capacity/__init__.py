"""The size to design for: slopes of what a server costs, and the page that holds them against the users' plan."""
