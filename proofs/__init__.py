"""Checks what must always hold against what the outside saw.

The stand-ins of engines, backend servers and the platform keep logs of their
own, and callers record their answers. Nothing that the system says of itself
counts as evidence here.
"""
