"""Duties that one gateway performs for the fleet at the operators' platform."""
