"""Admission control: the controller (`controller`) and the types of its inputs and decisions (`interface`)."""
