"""Calls to the operators' platform that one gateway makes for the fleet."""
