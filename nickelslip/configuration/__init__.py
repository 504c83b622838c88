"""Configuration documents, generations, and the life cycle of changes, with canary period and rollback."""
