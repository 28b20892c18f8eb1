"""Discovery of other gateways and the messages exchanged with them."""
