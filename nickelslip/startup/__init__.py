"""How one server comes up among hundreds that do the same, with no word between them."""
