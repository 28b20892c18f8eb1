"""Adapter between the operators' platform and the rest of this package.

Only this subpackage uses the platform's wire names. It decodes each value once
into the types of the package.
"""
