"""The adapter that lets the bench drive the decision module."""
