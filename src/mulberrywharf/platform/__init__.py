"""Translates between the operators' platform and the product.

Names on the wire of the platform occur here and nowhere else. Everything is
decoded once, into types of the product that say what they hold.
"""
