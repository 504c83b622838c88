"""The start of one server among hundreds that start at the same time and do not communicate."""
