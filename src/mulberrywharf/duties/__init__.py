"""The duty of calling the operators' platform.

One gateway at a time makes these calls for the fleet. The other duty, ordering
engine roles, is in ``authority.role_manager``.
"""
