"""Fuzzing of real gateways and routers: whatever comes from outside, they live.

Hypothesis draws requests of callers, answers of servers, records in the store,
datagrams and handed over requests of other gateways, and frames of other
routers. After each example the process must run, none of its tasks may have
failed, and a sound request must be served. A run is repeated by its seed.
"""
