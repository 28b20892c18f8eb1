"""Blocks requests that crash the servers that process them.

- ``crash_watch``: what forwarding asks before it sends a request and reports
  when an exchange fails or succeeds;
- ``server_ends``: distinguishes the end of a server from a lost connection;
- ``fingerprints``: hashes by which requests and parts of prompts are known;
- ``crash_reports``, ``crash_codec``: what gateways send each other;
- ``crash_records``: records in the key-value service for gateways that start
  later.

``policy.crash_suspects`` decides what is blocked.
"""
