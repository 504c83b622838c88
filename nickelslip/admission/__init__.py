"""The decisions (control) and the types they are asked and answered in (interface)."""
