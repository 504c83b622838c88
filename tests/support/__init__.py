"""What several test files share: a model of the admission rules, and a server among fake services."""
