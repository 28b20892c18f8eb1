"""What gateways tell each other of the work that they place."""
