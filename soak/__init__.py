"""A randomized soak of real gateways with faults from outside them.

Run as ``python -m soak --seeds 1-50``. Each seed starts gateways as processes,
a store and servers, with a fault proxy on every way between them, and plays
callers while processes are killed, stopped, paused and reloaded, ways are
delayed, reset, cut one way and silenced, the store misbehaves, and servers
refuse, lose, delay and break off. What callers and servers saw is then held
against the promises of ``soak.promises``.
"""
