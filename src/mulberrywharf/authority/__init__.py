"""Ensures that one process at a time sends orders, and decides the orders.

The package has two independent systems:

- A controller orders the engines of its zone according to the operators' rules,
  under one lease for each zone: ``lease_watchdog``, ``order_records``,
  ``record_store``, ``situation_builder``, ``wanted_states``, ``reconcile``,
  ``findings`` and ``steps``.
- A gateway performs a duty for the whole fleet, such as changing engine roles
  by load, under one lease for each duty: ``duty_holder`` and ``role_manager``.

Both use ``takeover_delay``.
"""
