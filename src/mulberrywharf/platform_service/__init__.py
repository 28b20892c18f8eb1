"""The platform's key-value service, VM list and weight store."""
