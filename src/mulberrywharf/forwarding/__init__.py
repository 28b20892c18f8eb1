"""Forwards a gateway's requests to the servers that their route selects."""
